package routing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hollylever/fakes"
)

// These tests play discovery over pipes in memory on a clock that stands still while anything runs, so that minutes of
// failures take no time and each figure is exact.

// callPlan is how one call to discovery goes.
type callPlan string

const (
	noConnection  callPlan = "a connection that never comes up"
	refusedAtOnce callPlan = "503 at once"
	refusedLate   callPlan = "503 after 1 s"
	refusedLast   callPlan = "503 after 3 s"
	reset         callPlan = "a reset"
	unanswered    callPlan = "no answer"
	headOnly      callPlan = "a head and nothing more"
	trickles      callPlan = "a list that trickles"
	isGood        callPlan = "a watch that brings its empty lines"
	isAnswered    callPlan = "the change, after its turn at discovery"
)

// lostPlans are the plans that are of no use; refusalDelay has those of them that end by themselves, and after which
// time.
var (
	lostPlans    = []callPlan{noConnection, refusedAtOnce, refusedLate, refusedLast, reset, unanswered, headOnly, trickles}
	refusalDelay = map[callPlan]time.Duration{refusedAtOnce: 0, refusedLate: time.Second, refusedLast: 3 * time.Second, reset: 0}
)

// pipeDiscovery takes calls over pipes: the first ones are good watches, those after them go by plan, and the rest
// are answered.
type pipeDiscovery struct {
	good   int
	plans  []callPlan
	breaks chan struct{} // closed: the good watches are silent from then on
	change string

	mu    sync.Mutex
	calls []time.Time
	conns chan net.Conn
}

func (d *pipeDiscovery) Accept() (net.Conn, error) {
	c, isOpen := <-d.conns
	if !isOpen {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (d *pipeDiscovery) Close() error   { return nil }
func (d *pipeDiscovery) Addr() net.Addr { return &net.TCPAddr{} }

// plan is how a call goes.
func (d *pipeDiscovery) plan(call int) callPlan {
	switch call -= d.good; {
	case call < 0:
		return isGood
	case call < len(d.plans):
		return d.plans[call]
	}
	return isAnswered
}

// lastCalls returns the calls after the good watches, as times after from.
func (d *pipeDiscovery) lastCalls(from time.Time) (calls []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.calls[min(d.good, len(d.calls)):] {
		calls = append(calls, at.Sub(from))
	}
	return calls
}

func (d *pipeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.mu.Lock()
	number := len(d.calls)
	d.calls = append(d.calls, time.Now())
	d.mu.Unlock()
	switch d.plan(number) {
	case noConnection:
		<-ctx.Done()
		return nil, ctx.Err()
	case reset:
		return nil, errors.New("connection reset")
	}
	here, there := net.Pipe()
	d.conns <- numbered{there, number}
	return here, nil
}

// numbered is a connection that knows which call it carries.
type numbered struct {
	net.Conn
	call int
}

type callNumber struct{}

func (d *pipeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	say := func(text string) { io.WriteString(w, text); w.(http.Flusher).Flush() }
	switch plan := d.plan(r.Context().Value(callNumber{}).(int)); plan {
	case isGood:
		for {
			say("\n")
			select {
			case <-r.Context().Done():
				return
			case <-d.breaks:
				<-r.Context().Done()
				return
			case <-time.After(emptyLineInterval):
			}
		}
	case refusedAtOnce, refusedLate, refusedLast:
		time.Sleep(refusalDelay[plan])
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case unanswered:
	case headOnly:
		say("")
	case trickles:
		for say("{"); r.Context().Err() == nil; time.Sleep(emptyLineInterval / 20) {
			say(" ")
		}
	case isAnswered:
		time.Sleep(answerReserve)
		say(d.change + "\n")
	}
	<-r.Context().Done()
}

// start serves discovery until the test ends.
func (d *pipeDiscovery) start(t *testing.T) {
	d.breaks, d.conns = make(chan struct{}), make(chan net.Conn, 100)
	d.change = fakes.List(2, false, fakes.Entry("new", "127.0.0.1:1", "Ready"))
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callNumber{}, c.(numbered).call)
	}}
	served := make(chan struct{})
	go func() { server.Serve(d); close(served) }()
	t.Cleanup(func() {
		close(d.conns)
		server.Close()
		<-served
		time.Sleep(time.Minute) // The policies' own timers run out.
	})
}

// followOver has a balancer follow what dial leads to.
func followOver(t *testing.T, b *Balancer, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	b.list.discovery, b.dialDiscovery = "discovery:1", dial
	ctx, end := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go func() { b.Follow(ctx); close(followed) }()
	t.Cleanup(func() { end(); <-followed })
}

// untilKnown waits on the test's clock for the change.
func untilKnown(b *Balancer) (took time.Duration) {
	from := time.Now()
	for !b.isReadyInList("new") && time.Since(from) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// notified plays a watch that falls silent just as a change comes, and calls after it by plan. It returns the time
// from the silence to each call and until the change is known.
func notified(t *testing.T, plans []callPlan, settings map[string]any) (calls []time.Duration, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		d := &pipeDiscovery{good: 1, plans: plans}
		d.start(t)
		b := newBalancerBefore(t, "127.0.0.1:1", settings)
		followOver(t, b, d.dial)
		time.Sleep(5 * emptyLineInterval)
		synctest.Wait() // An empty line has just come.
		close(d.breaks)
		from := time.Now()
		took = untilKnown(b)
		calls = d.lastCalls(from)
	})
	return calls, took
}

// A balancer that acts on an old list sends requests to servers that have stopped. A change is known 6 s after a
// watch fell silent also when the call after it is lost as well, however that goes.
func TestChangeIsAppliedInTimeAfterTwoLostWatches(t *testing.T) {
	for _, plan := range lostPlans {
		t.Run(string(plan), func(t *testing.T) {
			for range 20 { // The waits are drawn by chance.
				if calls, took := notified(t, []callPlan{plan}, nil); took > notifiedTimeout {
					t.Fatalf("known after %v; calls at %v", took, calls)
				}
			}
		})
	}
}

// However many calls were lost before, in whatever order, the next one is made early enough for its answer to be
// there 6 s after discovery could be reached: that is, after the last lost call began, or said that it was refused at
// once.
func TestChangeIsAppliedInTimeAfterAnyLostCalls(t *testing.T) {
	pick := uint32(1)
	for n := range 300 {
		var plans []callPlan
		for range 1 + n%7 {
			pick = pick*1664525 + 1013904223
			plans = append(plans, lostPlans[pick>>16%uint32(len(lostPlans))])
		}
		mode := []string{"subscribe", "automatic"}[n%2]
		calls, took := notified(t, plans, map[string]any{"registryMode": mode})
		if reachable := calls[len(plans)-1]; took > reachable+notifiedTimeout {
			t.Fatalf("%s, %s: known %v after the last lost call began; calls at %v", mode, fmt.Sprintf("%q", plans), took-reachable, calls)
		}
	}
}

// After a new configuration the list is there within 4 s though the first call to the new address is lost, whatever
// calls at the old one are open or planned then.
func TestNewDiscoveryIsFollowedInTimeAmidLostCalls(t *testing.T) {
	const movedWithin = 4 * time.Second
	for n := range 200 {
		at := time.Duration(n) * 67 * time.Millisecond // after the watch fell silent
		olds, plan := []callPlan{lostPlans[n/2%len(lostPlans)], lostPlans[n/3%len(lostPlans)], lostPlans[n/5%len(lostPlans)], lostPlans[n/7%len(lostPlans)]}, lostPlans[n%len(lostPlans)]
		synctest.Test(t, func(t *testing.T) {
			old := &pipeDiscovery{good: 1, plans: append(olds, slices.Repeat([]callPlan{unanswered}, 20)...)}
			moved := &pipeDiscovery{plans: []callPlan{plan}}
			old.start(t)
			moved.start(t)
			b := newBalancerBefore(t, "127.0.0.1:1", nil)
			followOver(t, b, func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == "moved:1" {
					return moved.dial(ctx, network, address)
				}
				return old.dial(ctx, network, address)
			})
			time.Sleep(5 * emptyLineInterval)
			synctest.Wait()
			close(old.breaks)
			time.Sleep(at)
			b.SetDiscovery("moved:1")
			if took := untilKnown(b); took > movedWithin {
				t.Fatalf("moved %v after the silence amid %q: known after %v, when the first call goes by %q", at, olds, took, plan)
			}
		})
	}
}

// Balancers whose watches break in one moment, or that all find discovery down, call again spread by chance: of so
// many never half within a tenth of a second.
func TestCallsOfAllBalancersAreSpread(t *testing.T) {
	const balancers = 60
	for _, plan := range []callPlan{unanswered, refusedAtOnce, reset} {
		t.Run(string(plan), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &pipeDiscovery{good: balancers, plans: slices.Repeat([]callPlan{plan}, 100*balancers)}
				d.start(t)
				for n := range balancers {
					followOver(t, newBalancerWithSeed(t, uint64(n), "127.0.0.1:1", nil), d.dial)
				}
				time.Sleep(5 * emptyLineInterval)
				synctest.Wait()
				close(d.breaks)
				from := time.Now()
				time.Sleep(20 * time.Second)
				calls := d.lastCalls(from)
				for first, last := 0, 0; last < len(calls); last++ {
					for calls[last]-calls[first] > 100*time.Millisecond {
						first++
					}
					if last-first >= balancers/2 {
						t.Fatalf("%d of %d balancers call within 100 ms", last-first+1, balancers)
					}
				}
				if most := 20 * balancers * int(time.Second) / int(answerTimeout); len(calls) > most {
					t.Fatalf("%d calls of %d balancers in 20 s", len(calls), balancers)
				}
			})
		})
	}
}

// Calls that nobody needs take discovery's capacity from those that do. Where all is quiet one watch stays alone: no
// further call is made beside one that brings its empty lines.
func TestWorkingWatchStaysTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &pipeDiscovery{good: 1}
		d.start(t)
		followOver(t, newBalancerBefore(t, "127.0.0.1:1", nil), d.dial)
		time.Sleep(time.Hour)
		if calls := d.lastCalls(time.Now()); len(calls) > 0 {
			t.Fatalf("%d further calls in an hour", len(calls))
		}
	})
}
