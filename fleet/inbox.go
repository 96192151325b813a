package fleet

import (
	"fmt"
	"sync/atomic"

	"hollylever/consensus"
	"hollylever/fields"
	"hollylever/fleetconfig"
	"hollylever/membership"
)

const (
	minQueue          = 256                        // messages: room for a burst in a small fleet
	maxQueue          = 4 * fleetconfig.MaxMembers // messages: as many of each member of the largest fleet as messagesPerMember says
	messagesPerMember = 4                          // that wait: a lease request, a proposal and two of the voters
)

// queueSize is how many messages may wait for Run: a few of each process that the settings name or allow.
func queueSize(peers, maxProcesses int) int {
	return min(maxQueue, max(minQueue, messagesPerMember*peers, messagesPerMember*maxProcesses))
}

// inbox is what the exchange has received and Run has not handled yet. It is filled by any goroutine without waiting: a sender that could
// block here would stop the exchange for all members. What does not fit is dropped and counted; every message is sent again.
type inbox struct {
	messages     chan []byte
	cardReceived chan struct{} // at least one card came since the last look
	dropped      atomic.Int64
}

func newInbox(size int) inbox {
	return inbox{messages: make(chan []byte, size), cardReceived: make(chan struct{}, 1)}
}

// openExchange opens the exchange between members in the way that the settings name. received is told of what comes.
func openExchange(own fields.Values, name string, peers []membership.Peer, received membership.Delegate) (membership.Exchange, error) {
	listen, rate := own.Word("fleet.listen"), fleetconfig.SendRate(own, len(peers))
	if own.Word("fleet.way") == "gossip" {
		return membership.OpenGossip(name, listen, peers, rate, received)
	}
	return membership.OpenPlain(name, listen, peers, rate, received)
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

// Message implements members.Ears: it queues a message between lease holders and replicas. It does not block.
func (f *Fleet) NotifyMessage(message []byte) {
	select {
	case f.inbox.messages <- message:
	default:
		f.inbox.dropped.Add(1)
	}
}

// Card implements members.Ears: it has the peers' endpoint lists compared soon. It does not block.
func (f *Fleet) NotifyState(membership.MemberState) {
	select {
	case f.inbox.cardReceived <- struct{}{}:
	default: // A comparison is due already.
	}
}

// Signal implements members.Ears: it queues a message of outlier detection. It does not block.
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

// Send implements agreed.Sender for the lease holder and the replica, which are called with mu held. A message to this process itself goes the
// way of all others, so that no handler calls another. What cannot be sent is lost, as on any network, and sent again by its sender.
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

// handleMessage gives one message to whom it is for: the lease holder, the proposal that waits for it, or the replica. Run calls it.
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
