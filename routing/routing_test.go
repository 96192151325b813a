package routing

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/choice"
	"hollylever/tables"
	"hollylever/transport"
)

const settings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":3,"mostTrips":3,"retryAfter":true,
"maxRetryAfter":2000},"balancers":1,"hostTypes":["std"],"zones":["z"],"workloads":[{"name":"read","effect":"free",
"group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2}]}`

const known = `{"index":3,"snapshot":true,"endpoints":[{"name":"s","address":"ADDRESS","status":"Ready","type":"novel","zone":"novel"}]}`

// closed is an address where nothing listens.
func closed(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func begin(t *testing.T, most int64) *Balancer {
	pool := transport.NewPool(8, time.Minute, time.Second)
	b, err := New(tables.Flat(gjson.Parse(settings)), []byte(strings.Replace(known, "ADDRESS", closed(t), 1)), "", 1, pool, most,
		zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func words(list string) [][]byte {
	return [][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte(list)}
}

// Guards the module's count of what is in flight: a trip that it decides on while the client goes away has to be told
// as ended too, or it counts for ever.
func TestTripsDecidedAsTheClientGoesAreEnded(t *testing.T) {
	b := begin(t, 1<<20)
	left := make(chan struct{})
	close(left)
	for range 40 {
		r := turn{make(chan []byte, 1), make(chan struct{})}
		close(r.written)
		b.retrieve(words("c=read,d=1000"), false, r, left)
	}
	ended := 0
	for name, n := range b.counts {
		if strings.HasPrefix(name, "trip_") {
			ended += n
		}
	}
	if b.counts["trips"] == 0 || ended != b.counts["trips"] || b.held.Out() != 0 || b.heap != 0 {
		t.Fatalf("%v, %d held, %d bytes", b.counts, b.held.Out(), b.heap)
	}
}

// Guards memory: over its bounds the door dismisses, before the module hears of it.
func TestDoorIsBounded(t *testing.T) {
	for _, c := range []struct {
		most int64
		held int
	}{{10, 0}, {1 << 20, 3}} {
		b := begin(t, c.most)
		b.mu.Lock()
		for range c.held {
			b.take()
		}
		b.mu.Unlock()
		r := turn{make(chan []byte, 1), make(chan struct{})}
		close(r.written)
		b.retrieve(words("c=read,d=100"), false, r, nil)
		if answer := string(<-r.answer); answer != "-BUSY\r\n" || b.counts["trips"] != 0 {
			t.Errorf("%q after %d trips", answer, b.counts["trips"])
		}
	}
}

// What could not have run must be told so, or one-shots are given up for nothing; what may have run must never be.
func TestOutcomesTellWhatCannotHaveRun(t *testing.T) {
	never := map[choice.Outcome]bool{choice.Full: true, choice.Unreached: true, choice.Unsent: true, choice.Missing: true}
	for end := transport.Settled; end <= transport.Garbled; end++ {
		unrun := end >= transport.TurnedAway && end <= transport.Withdrawn
		if how, known := outcomes[end]; !known || never[how] != unrun {
			t.Errorf("%v is outcome %d, %t", end, how, known)
		}
	}
}

func TestDismissedSaysWhenToComeBack(t *testing.T) {
	b := begin(t, 1<<20)
	r := turn{make(chan []byte, 1), make(chan struct{})}
	close(r.written)
	b.retrieve(words("c=read,d=50"), false, r, nil)
	if answer := string(<-r.answer); answer != "-BUSY 500\r\n" || b.counts["dismissed"] != 1 || b.counts["trip_refused"] == 0 {
		t.Errorf("%q, %v", answer, b.counts)
	}
}

func TestListIsFollowedWhereChangesAreToComeUnasked(t *testing.T) {
	if len(begin(t, 1<<20).follow) != 1 {
		t.Fatal("the settings ask for no subscription, and nobody follows the list")
	}
}
