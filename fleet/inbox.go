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
	messagesPerMember = 4 // queue slots per member: a lease request, a proposal and two messages between voters
	minQueue          = 256
	maxQueue          = messagesPerMember * fleetconfig.MaxMembers
)

// queueSize returns the capacity of the message queue: messagesPerMember for peers or maxProcesses, whichever
// is more, within minQueue and maxQueue.
func queueSize(peers, maxProcesses int) int {
	return min(maxQueue, max(minQueue, messagesPerMember*peers, messagesPerMember*maxProcesses))
}

// inbox queues what the exchange has received until Run handles it. Any goroutine may add to it without blocking, since
// a blocked receiver would stall the exchange for all members. Messages that do not fit are dropped and counted, as if
// lost by the network; the protocols send each message again.
type inbox struct {
	messages      chan []byte
	stateReceived chan struct{} // at least one member published its state since the last comparison of endpoint lists
	dropped       atomic.Int64
}

func newInbox(size int) inbox {
	return inbox{messages: make(chan []byte, size), stateReceived: make(chan struct{}, 1)}
}

// newExchange opens the kind of exchange that the settings select, gossip or plain. delegate receives its messages.
func newExchange(
	own config.Values, name string, peers []membership.Peer, delegate membership.Delegate,
) (membership.Exchange, error) {
	listen, rate := own.Text("fleet.listen"), fleetconfig.SendRate(own, len(peers))
	if own.Text("fleet.way") == "gossip" {
		return membership.OpenGossip(name, listen, peers, rate, delegate)
	}
	return membership.OpenPlain(name, listen, peers, rate, delegate)
}

// join opens the exchange if it is not open yet. It is called by Start and Run.
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

// NotifyMessage implements membership.Delegate. It queues a message that a lease holder, a replica or a proposer has
// sent, without blocking.
func (f *Fleet) NotifyMessage(message []byte) {
	select {
	case f.inbox.messages <- message:
	default:
		f.inbox.dropped.Add(1)
	}
}

// NotifyState implements membership.Delegate. It schedules a comparison of the peers' endpoint lists without blocking.
func (f *Fleet) NotifyState(membership.MemberState) {
	select {
	case f.inbox.stateReceived <- struct{}{}:
	default: // A comparison is already pending.
	}
}

// NotifyBroadcast implements membership.Delegate. It queues a message of the outlier exchange without blocking.
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

// Send implements consensus.Sender for the lease holder and the replica, which call it with mu held. A message to this
// process itself goes through the queue like any other, so that handlers do not call each other. A message whose
// sending fails counts as lost.
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

// handleMessage dispatches a message to the lease holder, to the pending proposal that it answers, or to the replica.
// It is called by Run.
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
