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

// What discovery's protocol says of a watch on the endpoint list.
const (
	emptyLineInterval = 2 * time.Second // of a watch while nothing changes
	notifiedTimeout   = 6 * time.Second // until a balancer acts on a change that discovery has
)

// notifiedTimeout is divided for the worst case, a watch that falls silent and a call after it that is never answered:
// lineTimeout, callSpread, answerTimeout, callSpread and answerReserve add up to it.
const (
	lineTolerance   = emptyLineInterval / 4  // an empty line may be so late: the scheduling of a busy machine
	callSpread      = 500 * time.Millisecond // balancers whose watches break at the same moment call again over this time
	answerReserve   = time.Second            // for the last call's wait in discovery's queue, and its answer
	lineTimeout     = emptyLineInterval + lineTolerance
	lastCallTimeout = notifiedTimeout - answerReserve - callSpread // since a watch was last heard
	answerTimeout   = lastCallTimeout - lineTimeout - callSpread   // 1.5 s
	giveUpTimeout   = notifiedTimeout - lineTimeout                // a later answer comes too late for a silent watch
	maxWatches      = 2                                            // open at once: discovery's capacity is limited
)

// watchTimeouts bound how long a watch may bring nothing.
type watchTimeouts struct {
	line     time.Duration // after the last complete list or empty line: a further call is made beside the watch
	answer   time.Duration // the same after the start of a call that has brought nothing complete
	lastCall time.Duration // after a watch was last heard or broke off, if that is later: a call may be queued
	spread   time.Duration // the further call is delayed by a random part of this
	giveUp   time.Duration // a watch on which nothing begins or ends for so long is closed
}

var protocolTimeouts = watchTimeouts{line: lineTimeout, answer: answerTimeout, lastCall: lastCallTimeout, spread: callSpread, giveUp: giveUpTimeout}

var (
	errMoved    = errors.New("discovery has moved")
	errReplaced = errors.New("another watch was heard first")
	errSilent   = errors.New("discovery is silent")
)

// follower opens the watches on the endpoint list. While nothing complete is heard it opens a further one beside the
// one that is open: a call that waits in discovery's queue must not lose its place. The first watch to be heard stays
// and the others are closed. After a refusal, with no watch open, the policy says when to call again
// (WatchEndpoints). Soon after a watch was heard a call is given more time before a further one is made: when all
// balancers call at once, that spares discovery calls that nobody needs.
//
// One goroutine, that of Follow, uses it.
type follower struct {
	balancer *Balancer
	client   *http.Client
	ended    chan *listWatch // watches that have ended
	running  sync.WaitGroup  // a goroutine for each watch
	lastCall time.Time
	delay    time.Duration // of a further call: a random part of watchTimeouts.spread, drawn with each call
}

// Follow keeps a watch on the endpoint list at discovery until the context ends. It is called once.
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
			f.openFirst(ctx)
		case watch := <-f.ended:
			f.watchEnded(watch)
		case <-overdue.C:
			f.openFurther(ctx)
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
	ctx, cancel := context.WithTimeout(ctx, f.balancer.watchTimeouts.giveUp)
	defer cancel()
	return f.balancer.dialDiscovery(ctx, network, address)
}

// openFirst opens a watch, if none is open.
func (f *follower) openFirst(ctx context.Context) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	if len(f.balancer.list.watches) == 0 {
		f.open(ctx)
	}
}

// openFurther opens a further watch, if one is still due.
func (f *follower) openFurther(ctx context.Context) {
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
		b.log.Warn().Err(errSilent).Msg("list lost")
	}
}

// open starts a watch; under the lock.
func (f *follower) open(ctx context.Context) {
	b := f.balancer
	select {
	case <-b.watchRequested:
		// Requested meanwhile, as by SetDiscovery: this is the watch. Later it would follow a refusal without backoff.
	default:
	}
	watching, cancel := context.WithCancelCause(ctx)
	watch := &listWatch{balancer: b, ctx: watching, cancel: cancel, discovery: b.list.discovery, index: b.list.index, heardAt: time.Now()}
	b.list.watches = append(b.list.watches, watch)
	f.lastCall, f.delay = watch.heardAt, time.Duration(rand.Float64()*float64(b.watchTimeouts.spread))
	f.running.Go(func() {
		watch.err = watch.run(f.client)
		cancel(nil)
		select {
		case f.ended <- watch:
		case <-ctx.Done():
		}
	})
}

// nextCall returns in how long a further watch is due beside those that are open, if one is.
func (f *follower) nextCall() (wait time.Duration, isPlanned bool) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	return f.untilNextCall()
}

// untilNextCall is nextCall under the lock.
func (f *follower) untilNextCall() (wait time.Duration, isPlanned bool) {
	b := f.balancer
	if len(b.list.watches) == 0 || len(b.list.watches) >= maxWatches {
		return 0, false
	}
	due := f.lastCall.Add(b.watchTimeouts.answer)
	for _, watch := range b.list.watches {
		if at := watch.overdueAt(b.watchTimeouts, b.list.heardAt); at.After(due) {
			due = at
		}
	}
	return time.Until(due.Add(f.delay)), true
}

// watchEnded records the end of a watch, unless it was cancelled on purpose. If it was the last, the policy plans the
// next call.
func (f *follower) watchEnded(watch *listWatch) {
	b := f.balancer
	b.mu.Lock()
	i := slices.Index(b.list.watches, watch)
	isLost := i >= 0 && !b.list.isFailing
	if i >= 0 {
		b.list.watches = slices.Delete(b.list.watches, i, i+1)
		if watch.isEstablished && !errors.Is(context.Cause(watch.ctx), errSilent) {
			b.list.heardAt = time.Now() // It ended openly: until then it brought all changes.
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

// watchHeard records that a watch brought something complete, and cancels all others: from now on this one alone
// brings the list.
func (b *Balancer) watchHeard(watch *listWatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if watch.ctx.Err() != nil {
		return
	}
	watch.heardAt, watch.isEstablished = time.Now(), true
	b.list.heardAt = watch.heardAt
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

// watchRecovered records that what a watch brought was good: the policy's backoff starts again from its beginning.
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

// resetBackoff has the policy apply an empty update, so that its backoff starts again from its beginning; under the
// lock.
func (b *Balancer) resetBackoff() {
	b.policy.BeginEndpointUpdate(policy.IncrementalList)
	b.policy.CommitEndpointUpdate(b.now())
}

// SetDiscovery follows the list at another address from now on. The old watches are cancelled at once: they may stay
// open for a while, and nothing more that they bring is applied.
func (b *Balancer) SetDiscovery(discovery string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.discovery, b.list.index = discovery, 0 // Another discovery may count its lists in its own way.
	for _, watch := range b.list.watches {
		watch.cancel(errMoved)
	}
	b.list.watches, b.list.heardAt = nil, time.Time{}
	b.resetBackoff() // Failures at the old address must not delay the new one.
	b.WatchEndpoints()
}

// dialDiscovery connects without TCP keep-alive: the watch has timeouts of its own.
var dialDiscovery = (&net.Dialer{KeepAlive: -1}).DialContext
