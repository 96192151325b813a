package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"hollylever/policy"
)

// What the protocol says of a watch on the list of hosts.
const (
	emptyLineEvery = 2 * time.Second // while nothing changes
	notifiedWithin = 6 * time.Second // a change counts as told so long after discovery had it and could be reached
)

// The time of notifiedWithin is divided for the worst case, a watch that falls silent and a call after it that is never answered:
// lineDue, callSpread, answerDue, callSpread and answerReserve add up to it.
const (
	lineLateness  = emptyLineEvery / 4     // an empty line may be so late; the scheduling of a busy machine
	callSpread    = 500 * time.Millisecond // balancers whose watches break in one moment call again over this time
	answerReserve = time.Second            // for the last call's turn at discovery and its answer
	lineDue       = emptyLineEvery + lineLateness
	lastCallDue   = notifiedWithin - answerReserve - callSpread // since the last word
	answerDue     = lastCallDue - lineDue - callSpread          // 1.5 s
	giveUpAfter   = notifiedWithin - lineDue                    // an answer later than that comes too late for a silent watch
	maxWatches    = 2                                           // open at once: discovery has a capacity
)

// watchTimeouts bound how long a watch may bring nothing.
type watchTimeouts struct {
	line     time.Duration // after the last whole list or empty line: a further call is made beside the watch
	answer   time.Duration // the same after the start of a call that has brought nothing whole
	lastCall time.Duration // after a watch was last heard or broke off: a call may wait its turn until then, if that is later
	spread   time.Duration // the further call is put off by a random part of this
	giveUp   time.Duration // a watch on which nothing begins or ends for so long is closed
}

var protocolTimeouts = watchTimeouts{line: lineDue, answer: answerDue, lastCall: lastCallDue, spread: callSpread, giveUp: giveUpAfter}

var (
	errMoved    = errors.New("discovery has moved")
	errReplaced = errors.New("another watch was heard first")
	errSilent   = errors.New("discovery is silent")
)

// follower makes the calls for the list. While nothing whole is heard it makes a further call beside the one that is open, as a
// call may wait its turn at discovery and must not lose it; the first to be heard stays and the others are closed. After a
// refusal, with no call open, the module says when to call again. Soon after a watch was heard there is time to let a call wait its
// turn before a further one is made: when all balancers call at once, discovery is spared calls that nobody needs.
type follower struct {
	balancer *Balancer
	client   *http.Client
	ended    chan *listWatch
	running  sync.WaitGroup
	lastCall time.Time
	delay    time.Duration // random, drawn with each call
}

// Follow keeps a watch on the list at discovery until the context ends.
func (b *Balancer) Follow(ctx context.Context) {
	f := &follower{balancer: b, ended: make(chan *listWatch)}
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: f.dial}}
	defer f.running.Wait()
	overdue := time.NewTimer(time.Hour)
	defer overdue.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.follow:
			f.call(ctx)
		case watch := <-f.ended:
			f.fail(watch)
		case <-overdue.C:
			f.callBeside(ctx)
		}
		if wait, isPlanned := f.nextCall(); isPlanned {
			overdue.Reset(wait)
		} else {
			overdue.Stop()
		}
	}
}

// dial opens a connection to discovery. It has a time limit of its own, as net/http does not end it with its request.
func (f *follower) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.balancer.timeouts.giveUp)
	defer cancel()
	return f.balancer.dial(ctx, network, address)
}

// call begins a watch, if none is open.
func (f *follower) call(ctx context.Context) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	if len(f.balancer.watches) == 0 {
		f.begin(ctx)
	}
}

// callBeside begins a further watch, if it is still time for it.
func (f *follower) callBeside(ctx context.Context) {
	b := f.balancer
	b.mu.Lock()
	wait, isPlanned := f.untilNextCall()
	isLost := false
	if isPlanned && wait <= 0 {
		isLost = b.watches[0].isEstablished && !b.failing
		b.failing = b.failing || isLost
		f.begin(ctx)
	}
	b.mu.Unlock()
	if isLost {
		b.log.Warn().Err(errSilent).Msg("list lost")
	}
}

// begin starts a watch. It is called under the lock.
func (f *follower) begin(ctx context.Context) {
	b := f.balancer
	select {
	case <-b.follow: // Asked for in between, as by Move: this is the watch. Later it would follow a refusal with no wait.
	default:
	}
	watching, cancel := context.WithCancelCause(ctx)
	watch := &listWatch{balancer: b, ctx: watching, cancel: cancel, discovery: b.discovery, index: b.index, heardAt: time.Now()}
	b.watches = append(b.watches, watch)
	f.lastCall, f.delay = watch.heardAt, time.Duration(rand.Float64()*float64(b.timeouts.spread))
	f.running.Go(func() {
		watch.err = watch.run(f.client)
		cancel(nil)
		select {
		case f.ended <- watch:
		case <-ctx.Done():
		}
	})
}

// nextCall tells in how long a further call is to be made beside what is open, if one is to be.
func (f *follower) nextCall() (wait time.Duration, isPlanned bool) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	return f.untilNextCall()
}

// untilNextCall is nextCall under the lock.
func (f *follower) untilNextCall() (wait time.Duration, isPlanned bool) {
	b := f.balancer
	if len(b.watches) == 0 || len(b.watches) >= maxWatches {
		return 0, false
	}
	due := f.lastCall.Add(b.timeouts.answer)
	for _, watch := range b.watches {
		if at := watch.overdueAt(b.timeouts, b.listHeardAt); at.After(due) {
			due = at
		}
	}
	return time.Until(due.Add(f.delay)), true
}

// fail notes the end of a watch that was not let go on purpose. If it was the last, the module plans the next call.
func (f *follower) fail(watch *listWatch) {
	b := f.balancer
	b.mu.Lock()
	i := slices.Index(b.watches, watch)
	isLost := i >= 0 && !b.failing
	if i >= 0 {
		if b.watches = slices.Delete(b.watches, i, i+1); watch.isEstablished && !errors.Is(context.Cause(watch.ctx), errSilent) {
			b.listHeardAt = time.Now() // Its end was said: until then it told what there was.
		}
		b.failing = true
		b.counts[count{"lists_failed", none}]++
	}
	if i >= 0 && len(b.watches) == 0 {
		b.module.BeginEndpointUpdate(policy.UpdateFailed)
		b.module.CommitEndpointUpdate(b.now())
	}
	b.mu.Unlock()
	if isLost {
		b.log.Warn().Err(watch.err).Msg("list lost")
	}
}

// heard notes that a watch brought something whole, and lets go of all others: from now on this one alone tells the list.
func (b *Balancer) heard(watch *listWatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if watch.ctx.Err() != nil {
		return
	}
	watch.heardAt, watch.isEstablished = time.Now(), true
	b.listHeardAt = watch.heardAt
	isOlder := true
	for _, other := range b.watches {
		if other == watch {
			isOlder = false
			continue
		}
		other.cancel(errReplaced)
		if isOlder {
			b.counts[count{"lists_failed", none}]++
		}
	}
	b.watches = append(b.watches[:0], watch)
}

// regained notes that what a watch brought was good: the module's growing waits begin anew.
func (b *Balancer) regained(watch *listWatch) {
	b.mu.Lock()
	isRegained := b.failing && watch.ctx.Err() == nil
	if isRegained {
		b.failing = false
		b.resetBackoff()
	}
	b.mu.Unlock()
	if isRegained {
		b.log.Info().Str("discovery", watch.discovery).Msg("list followed again")
	}
}

// resetBackoff tells the module that nothing changed, so that its growing waits begin anew. It is called under the lock.
func (b *Balancer) resetBackoff() {
	b.module.BeginEndpointUpdate(policy.IncrementalList)
	b.module.CommitEndpointUpdate(b.now())
}

// Move follows the list at another address from now on. The old watches are let go at once: they may stay open for a
// while and tell nothing more.
func (b *Balancer) Move(discovery string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discovery, b.index = discovery, 0 // Another discovery may count its lists in its own way.
	for _, watch := range b.watches {
		watch.cancel(errMoved)
	}
	b.watches, b.listHeardAt = nil, time.Time{}
	b.resetBackoff() // Failures at the old address must not delay the new one.
	b.WatchEndpoints()
}

var dialDiscovery = (&net.Dialer{KeepAlive: -1}).DialContext
