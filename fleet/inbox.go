package fleet

import (
	"fmt"
	"sync/atomic"

	"hollylever/config"
	"hollylever/consensus"
	"hollylever/fleetconfig"
	"hollylever/membership"
)

const (
	messagesPerMember = 4 // that may wait: a lease request, a proposal and two messages between voters
	minQueue          = 256
	maxQueue          = messagesPerMember * fleetconfig.MaxMembers
)

// queueSize returns how many messages may wait for Run: messagesPerMember of each process that the settings name or
// allow.
func queueSize(peers, maxProcesses int) int {
	return min(maxQueue, max(minQueue, messagesPerMember*peers, messagesPerMember*maxProcesses))
}

// inbox holds what the exchange has received and Run has not handled yet. Any goroutine fills it without blocking:
// one that waited here would stall the exchange for all members. What does not fit is dropped and counted, as if the
// network had lost it; each message is sent again.
type inbox struct {
	messages      chan []byte
	stateReceived chan struct{} // at least one member published its state since the last comparison
	dropped       atomic.Int64
}

func newInbox(size int) inbox {
	return inbox{messages: make(chan []byte, size), stateReceived: make(chan struct{}, 1)}
}

// openExchange opens the exchange between members that the settings name, gossip or plain. delegate gets what it
// receives.
func openExchange(
	own config.Values, name string, peers []membership.Peer, delegate membership.Delegate,
) (membership.Exchange, error) {
	listen, rate := own.Text("fleet.listen"), fleetconfig.SendRate(own, len(peers))
	if own.Text("fleet.way") == "gossip" {
		return membership.OpenGossip(name, listen, peers, rate, delegate)
	}
	return membership.OpenPlain(name, listen, peers, rate, delegate)
}

// join opens the exchange if it is not open yet. It is called by Start and by Run.
func (f *Fleet) join() error {
	if f.exchange != nil {
		return nil
	}
	exchange, err := f.openExchange()
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	f.mu.Lock()
	f.exchange = exchange
	f.mu.Unlock()
	return nil
}

// NotifyMessage implements membership.Delegate: it queues a message between lease holders and replicas. It does not
// block.
func (f *Fleet) NotifyMessage(message []byte) {
	select {
	case f.inbox.messages <- message:
	default:
		f.inbox.dropped.Add(1)
	}
}

// NotifyState implements membership.Delegate: it has the peers' endpoint lists compared soon. It does not block.
func (f *Fleet) NotifyState(membership.MemberState) {
	select {
	case f.inbox.stateReceived <- struct{}{}:
	default: // A comparison is due already.
	}
}

// NotifyBroadcast implements membership.Delegate: it queues a message of outlier detection. It does not block.
func (f *Fleet) NotifyBroadcast(message []byte) {
	if f.outliers == nil {
		return
	}
	select {
	case f.outliers.messages <- message:
	default:
		f.outliers.dropped.Add(1)
	}
}

// Send implements consensus.Sender for the lease holder and the replica, which are called with mu held. A message to
// this process itself is queued like all others, so that no handler calls another. An error is not reported: the
// protocols take it for a lost message and send again.
func (f *Fleet) Send(to string, m *consensus.Message) {
	message := m.Marshal()
	if to == f.name {
		f.NotifyMessage(message)
		return
	}
	if f.exchange != nil {
		_ = f.exchange.Send(to, message)
	}
}

// handleMessage passes one message to the lease holder, to the proposal that waits for it, or to the replica. Run
// calls it.
func (f *Fleet) handleMessage(message []byte) {
	m, err := consensus.UnmarshalMessage(message)
	if err != nil {
		f.log.Warn().Err(err).Msg("invalid fleet message")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch now := Now(); {
	case m.LeaseResponse != nil:
		f.holder.HandleLeaseResponse(now, m.LeaseResponse)
	case m.ProposalResult != nil:
		f.deliverReply(reply{*m.ProposalResult, m.From})
	case f.replica.state != nil:
		f.replica.state.HandleMessage(now, m)
	}
}
