package membership

import (
	"slices"

	"github.com/hashicorp/memberlist"
)

// memberlistDelegate receives memberlist's callbacks. Its methods must not block, as that would stall everything
// memberlist receives.
type memberlistDelegate struct{ gossip *Gossip }

// NodeMeta implements memberlist.Delegate. Metadata is not used, as the member state carries everything.
func (d *memberlistDelegate) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate. It copies the frame because memberlist reuses the buffer.
func (d *memberlistDelegate) NotifyMsg(frame []byte) {
	d.gossip.handleFrame(slices.Clone(frame))
}

// GetBroadcasts implements memberlist.Delegate. memberlist may call it before OpenGossip has created the queue.
func (d *memberlistDelegate) GetBroadcasts(overhead, limit int) [][]byte {
	if d.gossip.broadcasts == nil {
		return nil
	}
	return d.gossip.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. It returns the state that this process sends in a push/pull sync.
func (d *memberlistDelegate) LocalState(bool) []byte {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	return d.gossip.stateFrame
}

// MergeRemoteState implements memberlist.Delegate. It handles what the other member sent in a push/pull sync: a state
// frame, or nothing if that member has not published a state yet.
func (d *memberlistDelegate) MergeRemoteState(frame []byte, _ bool) {
	if len(frame) > 1 && frameKind(frame[0]) == frameState {
		d.gossip.handleState(slices.Clone(frame))
	}
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *memberlistDelegate) NotifyJoin(node *memberlist.Node) { d.storeNode(node) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *memberlistDelegate) NotifyUpdate(node *memberlist.Node) { d.storeNode(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (d *memberlistDelegate) NotifyLeave(node *memberlist.Node) {
	d.gossip.mu.Lock()
	delete(d.gossip.nodes, node.Name)
	d.gossip.mu.Unlock()
	d.gossip.members.remove(node.Name)
}

// storeNode stores the address of a member, for at most MaxMembers members.
func (d *memberlistDelegate) storeNode(node *memberlist.Node) {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	if d.gossip.nodes[node.Name] == nil && len(d.gossip.nodes) >= MaxMembers {
		return
	}
	d.gossip.nodes[node.Name] = &memberlist.Node{Name: node.Name, Addr: slices.Clone(node.Addr), Port: node.Port,
		PMin: node.PMin, PMax: node.PMax, PCur: node.PCur}
}

// stateBroadcast is a member state queued in memberlist. A newer state of the same member replaces it.
type stateBroadcast struct {
	member string
	frame  []byte
}

// Invalidates implements memberlist.Broadcast.
func (b *stateBroadcast) Invalidates(other memberlist.Broadcast) bool {
	older, isState := other.(*stateBroadcast)
	return isState && older.member == b.member
}

// Message implements memberlist.Broadcast.
func (b *stateBroadcast) Message() []byte { return b.frame }

// Finished implements memberlist.Broadcast.
func (b *stateBroadcast) Finished() {}
