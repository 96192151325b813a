package routing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/policy"
	"hollylever/tables"
	"hollylever/transport"
)

const settings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":3,"mostTrips":3,"retryAfter":true,
"maxRetryAfter":2000},"balancers":1,"hostTypes":["std"],"zones":["z"],"workloads":[{"name":"read","effect":"free",
"group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2}]}`

const initialList = `{"index":3,"snapshot":true,"endpoints":[{"name":"s","address":"ADDRESS","status":"Ready","type":"novel","zone":"novel"}]}`

// closed is an address where nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newTestBalancer(t *testing.T, most int64) *Balancer {
	return newTestBalancerWith(t, most, tables.Flat(gjson.Parse(settings)))
}

func newTestBalancerWith(t *testing.T, most int64, stated map[string]any) *Balancer {
	pool := transport.NewPool(8, time.Minute, time.Second)
	b, err := New(stated, []byte(strings.Replace(initialList, "ADDRESS", closedAddress(t), 1)), "", 1, pool, most, "",
		nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func requestArguments(list string) [][]byte {
	return [][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte(list)}
}

// Guards the module's count of what is in flight: a trip that it decides on while the client goes away has to be told
// as ended too, or it counts for ever.
func TestTripsDecidedAsTheClientGoesAreEnded(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	left := make(chan struct{})
	close(left)
	for range 40 {
		r := newPendingReply()
		r.delivery <- delivered
		b.handleRequest(requestArguments("c=read,d=1000"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: left})
	}
	ended := 0
	for c, n := range b.counters.sinceStart {
		if strings.HasPrefix(c.name, "trip_") {
			ended += n
		}
	}
	if b.counters.total("trips") == 0 || ended != b.counters.total("trips") || b.requests.indices.Out() != 0 || b.requests.bytes != 0 {
		t.Fatalf("%v, %d held, %d bytes", b.counters.sinceStart, b.requests.indices.Out(), b.requests.bytes)
	}
}

// Guards memory: over its bounds the door dismisses, before the module hears of it.
func TestDoorIsBounded(t *testing.T) {
	for _, c := range []struct {
		most int64
		held int
	}{{10, 0}, {1 << 20, 3}} {
		b := newTestBalancer(t, c.most)
		b.mu.Lock()
		for range c.held {
			b.requests.allocate()
		}
		b.mu.Unlock()
		r := newPendingReply()
		r.delivery <- delivered
		b.handleRequest(requestArguments("c=read,d=100"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
		if answer := string((<-r.reply).bytes); answer != "-BUSY\r\n" || b.counters.total("trips") != 0 {
			t.Errorf("%q after %d trips", answer, b.counters.total("trips"))
		}
	}
}

// What could not have run must be told so, or one-shots are given up for nothing; what may have run must never be.
func TestOutcomesTellWhatCannotHaveRun(t *testing.T) {
	never := map[policy.Outcome]bool{policy.Rejected: true, policy.ConnectFailed: true, policy.NotSent: true, policy.CacheMiss: true}
	for end := transport.Settled; end <= transport.Garbled; end++ {
		unrun := end >= transport.TurnedAway && end <= transport.Withdrawn
		if how, known := outcomeByEnd[end]; !known || never[how] != unrun {
			t.Errorf("%v is outcome %d, %t", end, how, known)
		}
	}
}

// Guards the retrieval that is out: its host takes the second for the same.
func TestAnIdIsOpenOnce(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	b.requests.openIDs["id"] = true
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() { t.Error("it counts as a good command") }, disconnected: nil})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-ERR") || b.counters.total("trips") != 0 || !b.requests.openIDs["id"] {
		t.Errorf("%q after %d trips", answer, b.counters.total("trips"))
	}
	delete(b.requests.openIDs, "id")
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if answer := string((<-r.reply).bytes); !strings.HasPrefix(answer, "-BUSY") || len(b.requests.openIDs) != 0 {
		t.Errorf("%q, open after its answer: %v", answer, b.requests.openIDs)
	}
}

func (b *Balancer) applyTestList(t *testing.T, line string) {
	if err := b.applyList(context.Background(), []byte(line), false); err != nil {
		t.Fatal(err)
	}
}

func entryJSON(name, address, status string, started int) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"status":%q,"type":"std","zone":"z","since_ms":%d}`, name, address, status, started)
}

func incrementalList(rows ...string) string {
	return `{"index":9,"snapshot":false,"endpoints":[` + strings.Join(rows, ",") + `]}`
}

// Guards memory on long days, and trips that are held against a place that is another server's by now.
func TestPlacesOfServersAreGivenBack(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	for n := range 500 {
		name := fmt.Sprint("new-", n)
		b.applyTestList(t, incrementalList(entryJSON(name, fmt.Sprint("127.0.0.1:", 1000+n), "Ready", 1)))
		s := b.endpoints.byName[name]
		if n == 7 {
			b.endpoints.all[s].attempts = 1 // One is held.
		}
		b.applyTestList(t, incrementalList(entryJSON(name, fmt.Sprint("127.0.0.1:", 1000+n), "Gone", 1)))
		if b.endpoints.all[s].name == "" == (n == 7) {
			t.Fatalf("%d: the place of a server that is gone is %+v", n, b.endpoints.all[s])
		}
	}
	if len(b.endpoints.all) != 3 || len(b.endpoints.byName) != 2 {
		t.Fatalf("%d places, %d names", len(b.endpoints.all), len(b.endpoints.byName))
	}
	b.applyTestList(t, strings.Replace(incrementalList(entryJSON("last", "127.0.0.1:9", "Ready", 1)), "false", "true", 1)) // a whole list without the first
	if len(b.endpoints.byName) != 2 || b.endpoints.all[0].name == "s" {
		t.Fatalf("%v", b.endpoints.byName)
	}
}

// Guards a new server against what is meant for the one that had its address, while the list still has that one.
func TestAnAddressBelongsToWhoStartedLast(t *testing.T) {
	for _, rows := range [][]string{
		{entryJSON("old", "127.0.0.1:9", "Ready", 5), entryJSON("new", "127.0.0.1:9", "Ready", 8)},
		{entryJSON("new", "127.0.0.1:9", "Ready", 8), entryJSON("old", "127.0.0.1:9", "Ready", 5)},
	} {
		b := newTestBalancer(t, 1<<20)
		b.applyTestList(t, incrementalList(rows[0]))
		b.applyTestList(t, incrementalList(rows[1]))
		if _, stays := b.endpoints.byName["new"]; !stays || len(b.endpoints.byName) != 2 {
			t.Errorf("after %v: %v", rows, b.endpoints.byName)
		}
	}
}

// Where only draining binds, a server that the list calls gone is kept and used; one that drained, is out by hand or has
// lost its address is not, and nobody is kept for ever.
func TestGoneIsKeptWhereOnlyDrainingBinds(t *testing.T) {
	begun := func() *Balancer {
		stated := tables.Flat(gjson.Parse(settings))
		stated["invariants.onlyDrainingBinds"] = true
		b := newTestBalancerWith(t, 1<<20, stated)
		b.setEjections(manualEjections, []string{"s"})
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1)), "false", "true", 1))
		return b
	}
	tries := func(b *Balancer) int {
		for range 20 {
			r := newPendingReply()
			r.delivery <- delivered
			b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
		}
		return b.counters.total("trips")
	}
	gone := func(b *Balancer) { b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Gone", 1))) }
	b := begun()
	if gone(b); tries(b) == 0 {
		t.Error("one that did not drain is not used")
	}
	b.endpoints.all[b.endpoints.byName["one"]].removedAt -= removedRetention
	if b.applyTestList(t, incrementalList()); b.endpoints.byName["one"] != 0 {
		t.Error("it is kept for ever")
	}
	b = begun()
	gone(b)
	if b.setEjections(manualEjections, []string{"s", "one"}); tries(b) > 0 {
		t.Error("one that is gone and then out by hand is used")
	}
	for why, before := range map[string]func(b *Balancer){
		"drained": func(b *Balancer) {
			b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1)))
		},
		"is out by hand": func(b *Balancer) { b.setEjections(manualEjections, []string{"s", "one"}) },
		"lost its address": func(b *Balancer) {
			b.applyTestList(t, incrementalList(entryJSON("two", "127.0.0.1:9", "Ready", 5)))
			b.setEjections(manualEjections, []string{"s", "two"})
		},
	} {
		b = begun()
		before(b)
		if gone(b); tries(b) > 0 {
			t.Errorf("one that %s is used", why)
		}
	}
}

func TestDismissedSaysWhenToComeBack(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	answer, after := string((<-r.reply).bytes), 0
	fmt.Sscanf(answer, "-BUSY %d\r\n", &after)
	if after < 1 || after > 2000 || b.counters.totalFor("dismissed", 0) != 1 || b.counters.total("trip_refused") == 0 {
		t.Errorf("%q, %v", answer, b.counters.sinceStart)
	}
}

func TestListIsFollowedWhereChangesAreToComeUnasked(t *testing.T) {
	if len(newTestBalancer(t, 1<<20).watchRequested) != 1 {
		t.Fatal("the settings ask for no subscription, and nobody follows the list")
	}
}

// At 5,000 hosts: what is done under the lock for a list, and for a scrape.
func BenchmarkUnderTheLock(b *testing.B) {
	var rows []string
	for n := range 5000 {
		rows = append(rows, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	whole := []byte(strings.Replace(incrementalList(rows...), "false", "true", 1))
	pool := transport.NewPool(8, time.Minute, time.Second)
	r, err := New(tables.Flat(gjson.Parse(settings)), whole, "", 1, pool, 1<<20, "", nil, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			r.applyList(context.Background(), whole, false)
		}
	})
	b.Run("scrape", func(b *testing.B) {
		for b.Loop() {
			r.Figures()
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		k := r.NewSnapshotWriter(b.TempDir()+"/learnt", "n1")
		held := time.Duration(0)
		for b.Loop() {
			r.counters.increment("retrievals")
			if err := k.Write(); err != nil {
				b.Fatal(err)
			}
			held += k.LockHeld
		}
		b.ReportMetric(float64(held)/float64(b.N), "ns/held")
	})
}

// Guards large fleets: more hosts are listed than names are remembered, and each can be taken out by hand.
func TestEveryListedServerCanBeTakenOut(t *testing.T) {
	b, rows := newTestBalancer(t, 1<<20), []string{}
	for n := range maxEndpoints + 100 {
		rows = append(rows, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	b.applyTestList(t, incrementalList(rows...))
	for _, name := range []string{"s-0", "s-99", fmt.Sprint("s-", maxEndpoints+99)} {
		if err := b.Ban(name, true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := b.Ban("never", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("a name that was never listed: %v", err)
	}
	if len(b.endpoints.everListed.names) != maxEndpoints || len(b.endpoints.everListed.ring) != maxEndpoints {
		t.Errorf("%d names are remembered, %d in the ring", len(b.endpoints.everListed.names), len(b.endpoints.everListed.ring))
	}
}

// What the fleet agreed on is laid over what this balancer knows, and taken off again; the smaller limit counts.
func TestHeeds(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	looks := 0
	b.SetLeaseCheck(func() { looks++ })
	b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1)))
	here := func() string { return fmt.Sprint(b.ejections.all["one"], b.requests.maxHeldByFleet) }
	b.ApplyFleetConfig([]string{"one"}, map[string]int64{"held": 1}, "", 0)
	if here() != "true 1" {
		t.Error("out and bounded:", here())
	}
	b.mu.Lock()
	b.requests.allocate()
	b.mu.Unlock()
	r := newPendingReply()
	r.delivery <- delivered
	b.handleRequest(requestArguments("c=read,d=100"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if answer := string((<-r.reply).bytes); answer != "-BUSY\r\n" || looks != 0 {
		t.Errorf("%q over what is agreed on, after %d looks", answer, looks)
	}
	b.setEjections(manualEjections, []string{"one"})
	if b.ApplyFleetConfig(nil, map[string]int64{"held": 99}, "", 0); here() != "true 3" {
		t.Error("by hand, and more than the settings:", here())
	}
	b.setEjections(manualEjections, nil)
	if b.ApplyFleetConfig(nil, nil, "", 0); here() != "false 3" {
		t.Error("nothing:", here())
	}
	b.handleRequest(requestArguments("c=read,d=50"), false, r, client{receivedAt: time.Now(), onAdmitted: func() {}, disconnected: nil})
	if <-r.reply; looks == 0 {
		t.Error("decided without a look at the lease")
	}
	if b.ApplyPeerDrains([]string{"one"}); !b.ejections.all["one"] {
		t.Error("news of a drain is not taken")
	}
	b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1)))
	if index, digest, drains := b.ListState(); index != 9 || digest == 0 || len(drains) != 1 || drains[0] != (Drain{"one", 9}) {
		t.Error(index, digest, drains)
	}
}

// Of a list that the fleet does not read, drains count and nothing else.
func TestListThatDoesNotCount(t *testing.T) {
	for why, c := range map[string]struct {
		of   string
		from uint64
	}{"too old": {"", 10}, "another's": {"127.0.0.1:2", 0}} {
		b := newTestBalancer(t, 1<<20)
		b.applyTestList(t, incrementalList(entryJSON("one", "127.0.0.1:9", "Ready", 1), entryJSON("two", "127.0.0.1:8", "Ready", 1)))
		b.ApplyFleetConfig(nil, nil, c.of, c.from)
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("one", "127.0.0.1:9", "Terminating", 1), entryJSON("new", "127.0.0.1:7", "Ready", 1)), "false", "true", 1))
		if _, came := b.endpoints.byName["new"]; came || b.endpoints.all[b.endpoints.byName["one"]].health != policy.Draining || b.endpoints.all[b.endpoints.byName["two"]].health != policy.Ready {
			t.Errorf("%s: %+v", why, b.endpoints.all)
		}
		b.ApplyFleetConfig(nil, nil, "", 0)
		b.applyTestList(t, strings.Replace(incrementalList(entryJSON("new", "127.0.0.1:7", "Ready", 1)), "false", "true", 1))
		if _, came := b.endpoints.byName["new"]; !came || len(b.endpoints.byName) != 1 {
			t.Errorf("%s, and counts again: %v", why, b.endpoints.byName)
		}
	}
}
