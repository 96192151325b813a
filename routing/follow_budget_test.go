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

// These tests simulate discovery over in-memory pipes with the fake clock of testing/synctest, which advances only while
// everything is blocked, so that minutes of failures take no real time and durations are exact.

// callPlan is the course of one call to discovery.
type callPlan string

const (
	noConnection       callPlan = "connection never established"
	refusedAtOnce      callPlan = "503 at once"
	refusedAfter1s     callPlan = "503 after 1 s"
	refusedAfter3s     callPlan = "503 after 3 s"
	reset              callPlan = "connection reset"
	unanswered         callPlan = "no answer"
	headOnly           callPlan = "response header only"
	trickles           callPlan = "list that trickles in"
	workingWatch       callPlan = "watch that delivers its empty lines"
	answeredWithChange callPlan = "the change, after a wait in discovery's queue"
)

// failingPlans holds the plans of calls that do not deliver the change; refusalDelay the time after which those of them
// that fail by themselves do so.
var (
	failingPlans = []callPlan{noConnection, refusedAtOnce, refusedAfter1s, refusedAfter3s, reset, unanswered, headOnly, trickles}
	refusalDelay = map[callPlan]time.Duration{refusedAtOnce: 0, refusedAfter1s: time.Second, refusedAfter3s: 3 * time.Second, reset: 0}
)

// pipeDiscovery serves calls over pipes: the first are working watches, those after them go by plans, and the rest are
// answered with the change.
type pipeDiscovery struct {
	working  int // number of working watches
	plans    []callPlan
	silenced chan struct{} // closed when the working watches fall silent
	change   string

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

// plan returns the plan of a call.
func (d *pipeDiscovery) plan(call int) callPlan {
	switch call -= d.working; {
	case call < 0:
		return workingWatch
	case call < len(d.plans):
		return d.plans[call]
	}
	return answeredWithChange
}

// lastCalls returns the times of the calls after the working watches, relative to from.
func (d *pipeDiscovery) lastCalls(from time.Time) (calls []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.calls[min(d.working, len(d.calls)):] {
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
	d.conns <- numberedConn{there, number}
	return here, nil
}

// numberedConn is a connection with the number of the call that it carries.
type numberedConn struct {
	net.Conn
	call int
}

// callNumberKey is the context key of the number of a call.
type callNumberKey struct{}

func (d *pipeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	write := func(text string) { io.WriteString(w, text); w.(http.Flusher).Flush() }
	switch plan := d.plan(r.Context().Value(callNumberKey{}).(int)); plan {
	case workingWatch:
		for {
			write("\n")
			select {
			case <-r.Context().Done():
				return
			case <-d.silenced:
				<-r.Context().Done()
				return
			case <-time.After(emptyLineInterval):
			}
		}
	case refusedAtOnce, refusedAfter1s, refusedAfter3s:
		time.Sleep(refusalDelay[plan])
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case unanswered:
	case headOnly:
		write("")
	case trickles:
		for write("{"); r.Context().Err() == nil; time.Sleep(emptyLineInterval / 20) {
			write(" ")
		}
	case answeredWithChange:
		time.Sleep(answerReserve)
		write(d.change + "\n")
	}
	<-r.Context().Done()
}

// start serves discovery until the test ends.
func (d *pipeDiscovery) start(t *testing.T) {
	d.silenced, d.conns = make(chan struct{}), make(chan net.Conn, 100)
	d.change = fakes.List(2, false, fakes.Entry("new", "127.0.0.1:1", "Ready"))
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callNumberKey{}, c.(numberedConn).call)
	}}
	served := make(chan struct{})
	go func() { server.Serve(d); close(served) }()
	t.Cleanup(func() {
		close(d.conns)
		server.Close()
		<-served
		time.Sleep(time.Minute) // Lets the policies' timers expire.
	})
}

// followWithDial starts Follow of a balancer that connects to discovery with dial.
func followWithDial(t *testing.T, b *Balancer, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	b.list.discovery, b.dialDiscovery = "discovery:1", dial
	ctx, end := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go func() { b.Follow(ctx); close(followed) }()
	t.Cleanup(func() { end(); <-followed })
}

// waitForChange returns how long the balancer takes, by the test's clock, to apply the change, or a minute if it does
// not.
func waitForChange(b *Balancer) (took time.Duration) {
	from := time.Now()
	for !b.isReadyInList("new") && time.Since(from) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// measureNotification simulates a watch that falls silent just as a change occurs, followed by calls that go by plans.
// It returns the times from then to each call, and until the change is applied.
func measureNotification(t *testing.T, plans []callPlan, settings map[string]any) (calls []time.Duration, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		d := &pipeDiscovery{working: 1, plans: plans}
		d.start(t)
		b := newBalancerBefore(t, "127.0.0.1:1", settings)
		followWithDial(t, b, d.dial)
		time.Sleep(5 * emptyLineInterval)
		synctest.Wait() // An empty line has just arrived.
		close(d.silenced)
		from := time.Now()
		took = waitForChange(b)
		calls = d.lastCalls(from)
	})
	return calls, took
}

// A balancer with an outdated list sends requests to servers that have stopped. A change must be applied within 6 s
// after a watch fell silent, even if the next call fails too, in whichever way.
func TestChangeIsAppliedInTimeAfterTwoLostWatches(t *testing.T) {
	for _, plan := range failingPlans {
		t.Run(string(plan), func(t *testing.T) {
			for range 20 { // The delays are random.
				if calls, took := measureNotification(t, []callPlan{plan}, nil); took > notifiedTimeout {
					t.Fatalf("applied after %v; calls at %v", took, calls)
				}
			}
		})
	}
}

// However many calls failed before, and in whichever way, the next one must be made early enough for the change to be
// applied within 6 s after discovery became reachable: counted from when the last failed call began, which is also when
// a call is refused that is refused at once.
func TestChangeIsAppliedInTimeAfterAnyLostCalls(t *testing.T) {
	random := uint32(1) // state of a linear congruential generator
	for n := range 300 {
		var plans []callPlan
		for range 1 + n%7 {
			random = random*1664525 + 1013904223
			plans = append(plans, failingPlans[random>>16%uint32(len(failingPlans))])
		}
		mode := []string{"subscribe", "automatic"}[n%2]
		calls, took := measureNotification(t, plans, map[string]any{"registryMode": mode})
		if reachable := calls[len(plans)-1]; took > reachable+notifiedTimeout {
			t.Fatalf("%s, %s: applied %v after the last failed call began; calls at %v", mode, fmt.Sprintf("%q", plans), took-reachable, calls)
		}
	}
}

// After a change of the discovery address the list must be applied within 4 s, even if the first call to the new address
// fails, and whichever calls to the old one are open or planned by then.
func TestNewDiscoveryIsFollowedInTimeAmidLostCalls(t *testing.T) {
	const movedWithin = 4 * time.Second
	for n := range 200 {
		at := time.Duration(n) * 67 * time.Millisecond // of the change, after the watch fell silent
		olds, plan := []callPlan{failingPlans[n/2%len(failingPlans)], failingPlans[n/3%len(failingPlans)], failingPlans[n/5%len(failingPlans)], failingPlans[n/7%len(failingPlans)]}, failingPlans[n%len(failingPlans)]
		synctest.Test(t, func(t *testing.T) {
			old := &pipeDiscovery{working: 1, plans: append(olds, slices.Repeat([]callPlan{unanswered}, 20)...)}
			moved := &pipeDiscovery{plans: []callPlan{plan}}
			old.start(t)
			moved.start(t)
			b := newBalancerBefore(t, "127.0.0.1:1", nil)
			followWithDial(t, b, func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == "moved:1" {
					return moved.dial(ctx, network, address)
				}
				return old.dial(ctx, network, address)
			})
			time.Sleep(5 * emptyLineInterval)
			synctest.Wait()
			close(old.silenced)
			time.Sleep(at)
			b.SetDiscovery("moved:1")
			if took := waitForChange(b); took > movedWithin {
				t.Fatalf("address changed %v after the watch fell silent, old calls %q: applied after %v; first call to the new address: %q", at, olds, took, plan)
			}
		})
	}
}

// Balancers whose watches break at the same moment, or that all find discovery down, must spread their next calls at
// random: never more than half of them within 100 ms.
func TestCallsOfAllBalancersAreSpread(t *testing.T) {
	const balancers = 60
	for _, plan := range []callPlan{unanswered, refusedAtOnce, reset} {
		t.Run(string(plan), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &pipeDiscovery{working: balancers, plans: slices.Repeat([]callPlan{plan}, 100*balancers)}
				d.start(t)
				for n := range balancers {
					followWithDial(t, newBalancerWithSeed(t, uint64(n), "127.0.0.1:1", nil), d.dial)
				}
				time.Sleep(5 * emptyLineInterval)
				synctest.Wait()
				close(d.silenced)
				from := time.Now()
				time.Sleep(20 * time.Second)
				calls := d.lastCalls(from)
				for first, last := 0, 0; last < len(calls); last++ {
					for calls[last]-calls[first] > 100*time.Millisecond {
						first++
					}
					if last-first >= balancers/2 {
						t.Fatalf("%d calls of %d balancers within 100 ms", last-first+1, balancers)
					}
				}
				if most := 20 * balancers * int(time.Second) / int(answerTimeout); len(calls) > most {
					t.Fatalf("%d calls of %d balancers in 20 s", len(calls), balancers)
				}
			})
		})
	}
}

// Needless calls take up discovery's capacity. No additional call may be made beside a watch that delivers its empty
// lines.
func TestWorkingWatchStaysTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &pipeDiscovery{working: 1}
		d.start(t)
		followWithDial(t, newBalancerBefore(t, "127.0.0.1:1", nil), d.dial)
		time.Sleep(time.Hour)
		if calls := d.lastCalls(time.Now()); len(calls) > 0 {
			t.Fatalf("%d additional calls in an hour", len(calls))
		}
	})
}
