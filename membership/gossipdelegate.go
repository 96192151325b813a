package membership

import (
	"slices"

	"github.com/hashicorp/memberlist"
)

// memberlistDelegate is what memberlist calls. Its methods must not wait, as they hold up all that memberlist receives.
type memberlistDelegate struct{ gossip *Gossip }

// NodeMeta implements memberlist.Delegate: what a member has to say is in its state.
func (d *memberlistDelegate) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate. It copies the frame, whose memory memberlist uses again.
func (d *memberlistDelegate) NotifyMsg(frame []byte) {
	d.gossip.handleFrame(slices.Clone(frame))
}

// GetBroadcasts implements memberlist.Delegate. memberlist may ask before OpenGossip has made the queue.
func (d *memberlistDelegate) GetBroadcasts(overhead, limit int) [][]byte {
	if d.gossip.broadcasts == nil {
		return nil
	}
	return d.gossip.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: it is this process's part of a push/pull.
func (d *memberlistDelegate) LocalState(bool) []byte {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	return d.gossip.stateFrame
}

// MergeRemoteState implements memberlist.Delegate: it takes the other's part of a push/pull, which is a state or
// nothing.
func (d *memberlistDelegate) MergeRemoteState(frame []byte, _ bool) {
	if len(frame) > 1 && frameKind(frame[0]) == frameState {
		d.gossip.handleState(slices.Clone(frame))
	}
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *memberlistDelegate) NotifyJoin(node *memberlist.Node) { d.keepNode(node) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *memberlistDelegate) NotifyUpdate(node *memberlist.Node) { d.keepNode(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (d *memberlistDelegate) NotifyLeave(node *memberlist.Node) {
	d.gossip.mu.Lock()
	delete(d.gossip.nodes, node.Name)
	d.gossip.mu.Unlock()
	d.gossip.members.remove(node.Name)
}

// keepNode keeps where a member is reached, of MaxMembers at most.
func (d *memberlistDelegate) keepNode(node *memberlist.Node) {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	if d.gossip.nodes[node.Name] == nil && len(d.gossip.nodes) >= MaxMembers {
		return
	}
	d.gossip.nodes[node.Name] = &memberlist.Node{Name: node.Name, Addr: slices.Clone(node.Addr), Port: node.Port,
		PMin: node.PMin, PMax: node.PMax, PCur: node.PCur}
}

// stateBroadcast is a member's state on its way through memberlist; a newer one of the same member takes its place.
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
