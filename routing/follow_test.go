package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
)

// Settings that ask for polling get a watch as well. Without one the list would never change after the start.
func TestWatchIsRequestedWithoutSubscription(t *testing.T) {
	if len(newTestBalancer(t, 1<<20).watchRequested) != 1 {
		t.Fatal("no watch is requested with settings that do not ask for a subscription")
	}
}

// singleWatchTimeouts has a silent watch closed after giveUp, without an additional call before.
func singleWatchTimeouts(giveUp time.Duration) watchTimeouts {
	return watchTimeouts{line: time.Hour, answer: time.Hour, giveUp: giveUp}
}

// followScripted starts a balancer that follows a discovery service scripted by the test.
func followScripted(t *testing.T, timeouts watchTimeouts, changes map[string]any) (*Balancer, *fakes.Discovery) {
	b, d := newBalancerBefore(t, "127.0.0.1:1", changes), fakes.ScriptedDiscovery()
	b.list.discovery, b.watchTimeouts = d.Address, timeouts
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { b.Follow(ctx); close(ended) }()
	t.Cleanup(func() { end(); <-ended; d.Close() })
	return b, d
}

func (b *Balancer) isReadyInList(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.endpoints.byName[name]
	return known && statusByHealth[b.endpoints.all[s].health] == "Ready"
}

// A list that cannot be parsed hides all later changes. A watch is a stream of JSON values, which may be indented, share
// a line, and be split anywhere.
func TestWatchReadsListsSplitAnywhere(t *testing.T) {
	indented := func(index int, name string) string {
		list := fakes.List(index, false, fakes.Entry(name, "127.0.0.1:1", "Ready"))
		return strings.NewReplacer("{", "{\n  ", ",", ",\r\n\t", "}", "\n\n}").Replace(list)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name string
		text func(n int) string
	}{
		{"one per line", func(n int) string {
			return fakes.List(n, false, fakes.Entry(fmt.Sprint("n", n), "127.0.0.1:1", "Ready")) + "\n"
		}},
		{"over several lines", func(n int) string { return indented(n, fmt.Sprint("n", n)) + "\n" }},
		{"with nothing in between", func(n int) string { return indented(n, fmt.Sprint("n", n)) }},
		{"with empty lines in between", func(n int) string { return "\n\r\n" + indented(n, fmt.Sprint("n", n)) + "\n\n" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, d := followScripted(t, singleWatchTimeouts(time.Hour), nil)
			w := receive(t, d.Calls, "a watch")
			const lists = 20
			text := ""
			for n := range lists {
				text += c.text(n + 2)
			}
			for len(text) > 0 {
				cut := min(len(text), 1+random.IntN(200))
				w.SendText(text[:cut])
				text = text[cut:]
			}
			for n := range lists { // The last one too, although nothing follows it.
				until(t, fmt.Sprint("list ", n), func() bool { return b.isReadyInList(fmt.Sprint("n", n+2)) })
			}
			if n := b.counted("lists_failed"); n > 0 {
				t.Errorf("%d watches failed", n)
			}
		})
	}
}

// A connection that breaks without being closed leaves a balancer with an outdated list. A watch that falls silent is
// replaced, at whichever point that happens, and so is the next one.
func TestSilentWatchIsReplaced(t *testing.T) {
	list := fakes.List(2, true, fakes.Entry("s", "127.0.0.1:1", "Ready"))
	for _, c := range []struct {
		name  string
		gives []string
	}{
		{"from its first byte", nil},
		{"after the response header", []string{""}},
		{"after an empty line", []string{"\n"}},
		{"after a list", []string{list}},
		{"within a list", []string{list[:40]}},
		{"within a list, after a complete one", []string{list + "\n" + list[:40]}},
		{"within a list, with empty lines in it", []string{list[:40], "\n", "\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, d := followScripted(t, singleWatchTimeouts(100*time.Millisecond), nil)
			for n := range 3 {
				w := receive(t, d.Calls, fmt.Sprint("watch ", n))
				for _, piece := range c.gives {
					w.SendText(piece)
				}
				receive(t, w.Ended, "the end of a silent watch")
			}
		})
	}
}

// A list that trickles in delays all changes behind it. From the beginning of such a list the watch counts as silent, so
// that another watch can deliver them.
func TestTricklingListCountsAsSilence(t *testing.T) {
	_, d := followScripted(t, singleWatchTimeouts(100*time.Millisecond), nil)
	w := receive(t, d.Calls, "a watch")
	w.SendText("{")
	for trickles := time.NewTicker(10 * time.Millisecond); ; {
		select {
		case <-w.Ended:
			trickles.Stop()
			return
		case <-trickles.C:
			w.SendText(" ")
		case <-time.After(slowEventTimeout):
			t.Fatal("the watch is not closed")
		}
	}
}

// A watch request that is left pending would cause a call without backoff after the next failure, when discovery may
// already be overloaded. A watch that is opened meets the requests made before it was.
func TestChangeOfDiscoveryLeavesNoWatchRequestBehind(t *testing.T) {
	d := fakes.ScriptedDiscovery()
	t.Cleanup(d.Close)
	b := newBalancerBefore(t, "127.0.0.1:1", nil)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	b.mu.Lock()
	go func() { b.Follow(ctx); close(ended) }()
	t.Cleanup(func() { end(); <-ended })
	until(t, "Follow to take the watch request", func() bool { return len(b.watchRequested) == 0 })
	b.list.discovery = d.Address // As SetDiscovery does, between the request and the opening of the watch by Follow.
	b.WatchEndpoints()
	b.mu.Unlock()
	receive(t, d.Calls, "a watch at the new address")
	if len(b.watchRequested) > 0 {
		t.Fatal("another watch request is pending")
	}
}

// twoWatchTimeouts has an additional call made soon beside a watch that delivers nothing, and no watch closed for being
// silent.
var twoWatchTimeouts = watchTimeouts{line: 20 * time.Millisecond, answer: 20 * time.Millisecond, giveUp: time.Hour}

// A balancer must not wait for a silent watch, and a call that waits in discovery's queue must not lose its place. An
// additional call is made beside a watch that delivers nothing, and the first of the two to deliver something stays.
func TestFirstWatchHeardReplacesTheOthers(t *testing.T) {
	list := fakes.List(2, false, fakes.Entry("new", "127.0.0.1:1", "Ready")) + "\n"
	for _, c := range []struct {
		name  string
		first []string // what the first watch delivers before it falls silent
		kept  int      // index of the watch that delivers the list and stays
	}{
		{"additional watch, beside a call without an answer", nil, 1},
		{"additional watch, beside a response header", []string{""}, 1},
		{"additional watch, beside an established watch", []string{"\n"}, 1},
		{"additional watch, beside a list that trickles in", []string{"\n", "{", " "}, 1},
		{"first watch, from a call without an answer", nil, 0},
		{"first watch, after a response header", []string{""}, 0},
		{"first watch, already established", []string{"\n"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b, d := followScripted(t, singleWatchTimeouts(time.Hour), nil)
			first := receive(t, d.Calls, "a watch")
			for _, piece := range c.first {
				first.SendText(piece)
				if piece == "\n" {
					until(t, "the first watch to be established", b.hasEstablishedWatch)
				}
			}
			b.hurryAdditionalCall()
			calls := []fakes.Call{first, receive(t, d.Calls, "an additional call")}
			calls[c.kept].SendText(list)
			receive(t, calls[1-c.kept].Ended, "the end of the other watch")
			until(t, "the list", func() bool { return b.isReadyInList("new") })
			select {
			case <-calls[c.kept].Ended:
				t.Fatal("the watch that delivered the list is closed")
			default:
			}
		})
	}
}

// hasEstablishedWatch reports whether the first open watch has delivered something.
func (b *Balancer) hasEstablishedWatch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.list.watches) > 0 && b.list.watches[0].isEstablished
}

// hurryAdditionalCall has a balancer go by twoWatchTimeouts from now on. A balancer that did so from the start could make its
// additional call before it has read what the first watch delivers.
func (b *Balancer) hurryAdditionalCall() {
	b.mu.Lock()
	b.watchTimeouts.line, b.watchTimeouts.answer = twoWatchTimeouts.line, twoWatchTimeouts.answer
	b.mu.Unlock()
	b.WatchEndpoints() // A watch is open: only the time of the next call is computed anew.
}

// Lists from the old discovery address that are applied after a change would undo those from the new one. All open
// watches are cancelled, and nothing that they deliver after that is applied.
func TestChangeOfDiscoveryCancelsAllWatches(t *testing.T) {
	b, d := followScripted(t, twoWatchTimeouts, nil)
	moved := fakes.ScriptedDiscovery()
	t.Cleanup(moved.Close)
	calls := []fakes.Call{receive(t, d.Calls, "a watch"), receive(t, d.Calls, "an additional call")}
	b.SetDiscovery(moved.Address)
	for _, call := range calls {
		call.SendText(fakes.List(9, true, fakes.Entry("old", "127.0.0.1:1", "Ready")) + "\n")
		receive(t, call.Ended, "the end of a watch")
	}
	receive(t, moved.Calls, "a watch at the new address").SendText(fakes.List(2, true, fakes.Entry("new", "127.0.0.1:1", "Ready")) + "\n")
	until(t, "the new list", func() bool { return b.isReadyInList("new") })
	if b.isReadyInList("old") {
		t.Fatal("a list from a cancelled watch is applied")
	}
}
