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

// Times that discovery's protocol specifies for a watch on the endpoint list.
const (
	emptyLineInterval = 2 * time.Second // between empty lines while nothing changes
	notifiedTimeout   = 6 * time.Second // within which a balancer must act on a change that discovery has
)

// notifiedTimeout is divided for the worst case, in which a watch falls silent and the next call is never answered:
// lineTimeout, callSpread, answerTimeout, callSpread and answerReserve add up to it.
const (
	lineTolerance   = emptyLineInterval / 4  // how late an empty line may be, because of scheduling on a busy machine
	callSpread      = 500 * time.Millisecond // over which balancers whose watches break at once spread their calls
	answerReserve   = time.Second            // for the last call to wait in discovery's queue and be answered
	lineTimeout     = emptyLineInterval + lineTolerance
	lastCallTimeout = notifiedTimeout - answerReserve - callSpread // since a watch last delivered data
	answerTimeout   = lastCallTimeout - lineTimeout - callSpread   // 1.5 s
	giveUpTimeout   = notifiedTimeout - lineTimeout                // a later answer would miss notifiedTimeout
	maxWatches      = 2                                            // open at once, as discovery's capacity is limited
)

// watchTimeouts bound how long a watch may deliver nothing.
type watchTimeouts struct {
	line     time.Duration // after the last complete list or empty line an additional call is made beside the watch
	answer   time.Duration // the same after the start of a call that has delivered nothing complete
	lastCall time.Duration // since a watch last delivered data or broke; extends answer, as a call may be queued
	spread   time.Duration // the additional call is delayed by a random part of this
	giveUp   time.Duration // a watch on which no list begins or ends and no empty line arrives for so long is closed
}

var protocolTimeouts = watchTimeouts{line: lineTimeout, answer: answerTimeout, lastCall: lastCallTimeout, spread: callSpread, giveUp: giveUpTimeout}

var (
	errDiscoveryChanged = errors.New("discovery address changed")
	errReplaced         = errors.New("another watch delivered data first")
	errDiscoverySilent  = errors.New("discovery is silent")
)

// follower opens the watches on the endpoint list. If the open watch delivers nothing complete in time, follower opens
// an additional one and keeps the first, as a call that waits in discovery's queue must not lose its place. The first
// watch that delivers a list or an empty line stays, and the others are closed. After a refusal, with no watch open,
// the policy decides when to call again (WatchEndpoints). Shortly after a watch delivered data, a call is given more
// time before an additional one is made: when all balancers call at once, that saves discovery needless calls.
//
// Only the goroutine of Follow uses it.
type follower struct {
	balancer   *Balancer
	client     *http.Client
	ended      chan *listWatch // watches that have ended
	running    sync.WaitGroup  // a goroutine for each watch
	lastCallAt time.Time
	delay      time.Duration // of the next additional call: a random part of watchTimeouts.spread, drawn on each call
}

// Follow watches the endpoint list at discovery until the context ends. It must be called only once.
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
		case <-b.watchRequested:
			f.openInitial(ctx)
		case watch := <-f.ended:
			f.watchEnded(watch)
		case <-overdue.C:
			f.openAdditional(ctx)
		}
		if wait, isPlanned := f.nextCall(); isPlanned {
			overdue.Reset(wait)
		} else {
			overdue.Stop()
		}
	}
}

// dial opens a connection to discovery. It has its own timeout, as net/http does not end a dial with its request.
func (f *follower) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.balancer.watchTimeouts.giveUp)
	defer cancel()
	return f.balancer.dialDiscovery(ctx, network, address)
}

// openInitial opens a watch unless one is open.
func (f *follower) openInitial(ctx context.Context) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	if len(f.balancer.list.watches) == 0 {
		f.open(ctx)
	}
}

// openAdditional opens an additional watch if one is still due.
func (f *follower) openAdditional(ctx context.Context) {
	b := f.balancer
	b.mu.Lock()
	wait, isPlanned := f.untilNextCall()
	isLost := false
	if isPlanned && wait <= 0 {
		isLost = b.list.watches[0].isEstablished && !b.list.isFailing
		b.list.isFailing = b.list.isFailing || isLost
		f.open(ctx)
	}
	b.mu.Unlock()
	if isLost {
		b.log.Warn().Err(errDiscoverySilent).Msg("list lost")
	}
}

// open starts a watch. b.mu must be held.
func (f *follower) open(ctx context.Context) {
	b := f.balancer
	select {
	case <-b.watchRequested:
		// A request made in the meantime, as by SetDiscovery, is met by this watch. Left pending, it would cause a call
		// without backoff after a refusal.
	default:
	}
	watching, cancel := context.WithCancelCause(ctx)
	watch := &listWatch{balancer: b, ctx: watching, cancel: cancel, discovery: b.list.discovery, index: b.list.index, lastDeliveryAt: time.Now()}
	b.list.watches = append(b.list.watches, watch)
	f.lastCallAt, f.delay = watch.lastDeliveryAt, time.Duration(rand.Float64()*float64(b.watchTimeouts.spread))
	f.running.Go(func() {
		watch.err = watch.run(f.client)
		cancel(nil)
		select {
		case f.ended <- watch:
		case <-ctx.Done():
		}
	})
}

// nextCall returns the time until an additional watch is due. isPlanned is false if none is.
func (f *follower) nextCall() (wait time.Duration, isPlanned bool) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	return f.untilNextCall()
}

// untilNextCall is nextCall for callers that hold b.mu.
func (f *follower) untilNextCall() (wait time.Duration, isPlanned bool) {
	b := f.balancer
	if len(b.list.watches) == 0 || len(b.list.watches) >= maxWatches {
		return 0, false
	}
	due := f.lastCallAt.Add(b.watchTimeouts.answer)
	for _, watch := range b.list.watches {
		if at := watch.overdueAt(b.watchTimeouts, b.list.lastDeliveryAt); at.After(due) {
			due = at
		}
	}
	return time.Until(due.Add(f.delay)), true
}

// watchEnded records the end of a watch, unless it was cancelled on purpose. If it was the last open one, the policy
// plans the next call.
func (f *follower) watchEnded(watch *listWatch) {
	b := f.balancer
	b.mu.Lock()
	i := slices.Index(b.list.watches, watch)
	isLost := i >= 0 && !b.list.isFailing
	if i >= 0 {
		b.list.watches = slices.Delete(b.list.watches, i, i+1)
		if watch.isEstablished && !errors.Is(context.Cause(watch.ctx), errDiscoverySilent) {
			// The connection broke noticeably, not by silence: until then the watch delivered all changes.
			b.list.lastDeliveryAt = time.Now()
		}
		b.list.isFailing = true
		b.counters.increment(counterWatchesFailed)
	}
	if i >= 0 && len(b.list.watches) == 0 {
		b.policy.BeginEndpointUpdate(policy.UpdateFailed)
		b.policy.CommitEndpointUpdate(b.now())
	}
	b.mu.Unlock()
	if isLost {
		b.log.Warn().Err(watch.err).Msg("list lost")
	}
}

// watchDelivered records that a watch delivered a complete list or empty line, and cancels all others: from now on only
// this one delivers lists.
func (b *Balancer) watchDelivered(watch *listWatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if watch.ctx.Err() != nil {
		return
	}
	watch.lastDeliveryAt, watch.isEstablished = time.Now(), true
	b.list.lastDeliveryAt, b.list.toldAt = watch.lastDeliveryAt, watch.lastDeliveryAt
	isOlder := true
	for _, other := range b.list.watches {
		if other == watch {
			isOlder = false
			continue
		}
		other.cancel(errReplaced)
		if isOlder {
			b.counters.increment(counterWatchesFailed)
		}
	}
	b.list.watches = append(b.list.watches[:0], watch)
}

// watchRecovered records that a watch delivered a valid list or an empty line, and resets the policy's backoff.
func (b *Balancer) watchRecovered(watch *listWatch) {
	b.mu.Lock()
	isRecovered := b.list.isFailing && watch.ctx.Err() == nil
	if isRecovered {
		b.list.isFailing = false
		b.resetBackoff()
	}
	b.mu.Unlock()
	if isRecovered {
		b.log.Info().Str("discovery", watch.discovery).Msg("list followed again")
	}
}

// resetBackoff has the policy apply an empty update, which resets its backoff. b.mu must be held.
func (b *Balancer) resetBackoff() {
	b.policy.BeginEndpointUpdate(policy.IncrementalList)
	b.policy.CommitEndpointUpdate(b.now())
}

// SetDiscovery switches to another discovery address. The old watches are cancelled at once. They may take a while to
// close, but nothing that they still deliver is applied.
func (b *Balancer) SetDiscovery(discovery string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.discovery, b.list.index = discovery, 0 // Another discovery service may number its lists differently.
	b.list.generation++                           // A list that was saved from this service long ago may have a higher index.
	for _, watch := range b.list.watches {
		watch.cancel(errDiscoveryChanged)
	}
	b.list.watches, b.list.lastDeliveryAt = nil, time.Time{}
	b.resetBackoff() // Failures at the old address must not delay calls to the new one.
	b.WatchEndpoints()
}

// dialDiscovery connects without TCP keep-alive, as watches have timeouts of their own.
var dialDiscovery = (&net.Dialer{KeepAlive: -1}).DialContext
