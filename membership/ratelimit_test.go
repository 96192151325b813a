package membership

import (
	"fmt"
	"testing"
	"time"
)

// A process that sends more than its rate delays the traffic that it shares a network with. In two seconds it sends a
// full bucket and two seconds' worth, not more, and hardly less.
func TestRateLimit(t *testing.T) {
	limiter, now, sent := newRateLimiter(1000), time.Now(), 0
	for n := range 100 {
		if limiter.take(100, frameMessage, now.Add(time.Duration(n)*20*time.Millisecond)) {
			sent += 100
		}
	}
	if sent < 2800 || sent > 3000 { // The bucket was full, and two seconds passed.
		t.Errorf("%d bytes in two seconds, at 1000 a second", sent)
	}
}

// In an incident 1,023 peers get more broadcasts and states than may be sent. Lease responses must go all the same, or
// all leases expire together.
func TestMessagesAreSentBeforeStatesAndBroadcasts(t *testing.T) {
	var peers []Peer
	for n := range longListLength {
		peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: fmt.Sprintf("127.105.%d.%d:9", n/200, 1+n%200)}) // Nothing listens there.
	}
	peers[0].Address = freeAddress(t)
	exchange, err := OpenPlain("p0", peers[0].Address, peers, 1_000_000, &recordingDelegate{})
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	state := stateWithLongLists("p0", 20, 8)
	for range 20 {
		state.Seq++
		exchange.PublishState(state)
		exchange.Broadcast(make([]byte, 256))
	}
	for n := range 1000 { // As many lease responses as a leader sends when all renew at once.
		if err := exchange.Send(fmt.Sprint("p", 1+n), make([]byte, 200)); err != nil {
			t.Fatalf("message %d: %v", n, err)
		}
	}
}
