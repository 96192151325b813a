package membership

import (
	"fmt"
	"testing"
	"time"
)

// A process that exceeds its rate limit delays other traffic on the same network. In two seconds it may send a full
// bucket plus two seconds' worth of bytes, and must be able to send nearly that much.
func TestRateLimit(t *testing.T) {
	limiter, now, sent := newRateLimiter(1000), time.Now(), 0
	for n := range 100 {
		if limiter.take(100, frameMessage, now.Add(time.Duration(n)*20*time.Millisecond)) {
			sent += 100
		}
	}
	if sent < 2800 || sent > 3000 { // One full bucket plus two seconds.
		t.Errorf("sent %d bytes in two seconds at 1000 bytes per second", sent)
	}
}

// In an incident, the broadcasts and states for 1,023 peers exceed the rate limit. Guards against lease responses that
// are dropped because of them, which would let all leases expire together.
func TestMessagesAreSentBeforeStatesAndBroadcasts(t *testing.T) {
	var peers []Peer
	for n := range longListLength {
		peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: fmt.Sprintf("127.105.%d.%d:9", n/200, 1+n%200)}) // Nothing listens on these addresses.
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
	for n := range 1000 { // The lease responses of a leader when all members renew at the same time.
		if err := exchange.Send(fmt.Sprint("p", 1+n), make([]byte, 200)); err != nil {
			t.Fatalf("message %d: %v", n, err)
		}
	}
}
