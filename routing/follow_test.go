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

// Settings that ask for changes to be polled get a watch as well: with nobody to follow it the list would stay as it
// is at the start.
func TestWatchIsRequestedWithoutSubscription(t *testing.T) {
	if len(newTestBalancer(t, 1<<20).watchRequested) != 1 {
		t.Fatal("the settings ask for no subscription, and nobody follows the list")
	}
}

// singleWatchTimeouts have a silent watch closed after so long, with no further call beside it before.
func singleWatchTimeouts(giveUp time.Duration) watchTimeouts {
	return watchTimeouts{line: time.Hour, answer: time.Hour, giveUp: giveUp}
}

// followScripted has a balancer follow a discovery service that the test speaks for.
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

// A list that cannot be read hides all changes after it. A watch is a stream of JSON values: indented or not, several
// on a line, cut anywhere.
func TestWatchReadsListsSplitAnywhere(t *testing.T) {
	indented := func(index int, name string) string {
		list := fakes.List(index, false, fakes.Entry(name, "127.0.0.1:1", "Ready"))
		return strings.NewReplacer("{", "{\n  ", ",", ",\r\n\t", "}", "\n\n}").Replace(list)
	}
	chance := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name string
		text func(n int) string
	}{
		{"a line each", func(n int) string {
			return fakes.List(n, false, fakes.Entry(fmt.Sprint("n", n), "127.0.0.1:1", "Ready")) + "\n"
		}},
		{"over several lines", func(n int) string { return indented(n, fmt.Sprint("n", n)) + "\n" }},
		{"with nothing between", func(n int) string { return indented(n, fmt.Sprint("n", n)) }},
		{"with empty lines", func(n int) string { return "\n\r\n" + indented(n, fmt.Sprint("n", n)) + "\n\n" }},
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
				cut := min(len(text), 1+chance.IntN(200))
				w.Give(text[:cut])
				text = text[cut:]
			}
			for n := range lists { // The last one too, though nothing comes behind it.
				until(t, fmt.Sprint("list ", n), func() bool { return b.isReadyInList(fmt.Sprint("n", n+2)) })
			}
			if n := b.counted("lists_failed"); n > 0 {
				t.Errorf("%d watches failed", n)
			}
		})
	}
}

// A connection that breaks without a word leaves a balancer with an old list. A watch that has fallen silent is
// replaced, wherever it did; also when the next one does the same.
func TestSilentWatchIsReplaced(t *testing.T) {
	list := fakes.List(2, true, fakes.Entry("s", "127.0.0.1:1", "Ready"))
	for _, c := range []struct {
		name  string
		gives []string
	}{
		{"from its first byte", nil},
		{"after its head", []string{""}},
		{"after an empty line", []string{"\n"}},
		{"after a list", []string{list}},
		{"amid a list", []string{list[:40]}},
		{"amid a list, after one", []string{list + "\n" + list[:40]}},
		{"amid a list, with empty lines in it", []string{list[:40], "\n", "\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, d := followScripted(t, singleWatchTimeouts(100*time.Millisecond), nil)
			for n := range 3 {
				w := receive(t, d.Calls, fmt.Sprint("watch ", n))
				for _, piece := range c.gives {
					w.Give(piece)
				}
				receive(t, w.Ended, "the end of a silent watch")
			}
		})
	}
}

// A list that trickles in would hold up all changes behind it. It counts as silent from its beginning on, so that
// another watch brings them.
func TestTricklingListCountsAsSilence(t *testing.T) {
	_, d := followScripted(t, singleWatchTimeouts(100*time.Millisecond), nil)
	w := receive(t, d.Calls, "a watch")
	w.Give("{")
	for trickles := time.NewTicker(10 * time.Millisecond); ; {
		select {
		case <-w.Ended:
			trickles.Stop()
			return
		case <-trickles.C:
			w.Give(" ")
		case <-time.After(slowEventTimeout):
			t.Fatal("it is waited for")
		}
	}
}

// A request for a watch that stays behind would follow the next failure without backoff, and discovery may have too
// many callers already. A watch that is requested while another one begins is that one.
func TestChangeOfDiscoveryLeavesNoWatchRequestBehind(t *testing.T) {
	d := fakes.ScriptedDiscovery()
	t.Cleanup(d.Close)
	b := newBalancerBefore(t, "127.0.0.1:1", nil)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	b.mu.Lock()
	go func() { b.Follow(ctx); close(ended) }()
	t.Cleanup(func() { end(); <-ended })
	until(t, "the beginning of a watch", func() bool { return len(b.watchRequested) == 0 })
	b.list.discovery = d.Address // What SetDiscovery does, between the request and the watch of Follow.
	b.WatchEndpoints()
	b.mu.Unlock()
	receive(t, d.Calls, "a watch at the new address")
	if len(b.watchRequested) > 0 {
		t.Fatal("another watch is asked for already")
	}
}

// twoWatchTimeouts have a further call made beside a watch that brings nothing for a moment, and no watch closed for
// its silence.
var twoWatchTimeouts = watchTimeouts{line: 20 * time.Millisecond, answer: 20 * time.Millisecond, giveUp: time.Hour}

// A silent watch must not be waited for, and a call that waits in discovery's queue must not lose its place. A
// further call is made beside a watch that brings nothing, and the first of the two to be heard is the one that
// stays.
func TestFirstWatchHeardReplacesTheOthers(t *testing.T) {
	list := fakes.List(2, false, fakes.Entry("new", "127.0.0.1:1", "Ready")) + "\n"
	for _, c := range []struct {
		name  string
		first []string // what the first watch brings before it is silent
		heard int
	}{
		{"the further one, beside a call with no answer", nil, 1},
		{"the further one, beside a head", []string{""}, 1},
		{"the further one, beside a watch", []string{"\n"}, 1},
		{"the further one, beside a list that trickles", []string{"\n", "{", " "}, 1},
		{"the first one, from a call with no answer", nil, 0},
		{"the first one, after a head", []string{""}, 0},
		{"the first one, that was a watch", []string{"\n"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b, d := followScripted(t, twoWatchTimeouts, nil)
			first := receive(t, d.Calls, "a watch")
			for _, piece := range c.first {
				first.Give(piece)
			}
			calls := []fakes.Call{first, receive(t, d.Calls, "a further call")}
			calls[c.heard].Give(list)
			receive(t, calls[1-c.heard].Ended, "the end of the other one")
			until(t, "the list", func() bool { return b.isReadyInList("new") })
			select {
			case <-calls[c.heard].Ended:
				t.Fatal("the one that was heard is closed")
			default:
			}
		})
	}
}

// Lists of the old discovery that are applied after a change of discovery would undo the new one's. All open watches
// are cancelled; nothing that they bring after that is applied.
func TestChangeOfDiscoveryCancelsAllWatches(t *testing.T) {
	b, d := followScripted(t, twoWatchTimeouts, nil)
	moved := fakes.ScriptedDiscovery()
	t.Cleanup(moved.Close)
	calls := []fakes.Call{receive(t, d.Calls, "a watch"), receive(t, d.Calls, "a further call")}
	b.SetDiscovery(moved.Address)
	for _, call := range calls {
		call.Give(fakes.List(9, true, fakes.Entry("old", "127.0.0.1:1", "Ready")) + "\n")
		receive(t, call.Ended, "the end of a watch")
	}
	receive(t, moved.Calls, "a watch at the new address").Give(fakes.List(2, true, fakes.Entry("new", "127.0.0.1:1", "Ready")) + "\n")
	until(t, "the new list", func() bool { return b.isReadyInList("new") })
	if b.isReadyInList("old") {
		t.Fatal("a watch that was let go told a list")
	}
}
