package routing

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/siblings"
	"hollylever/transport"
)

func newTestResults(memory *transport.MemoryAccount) *resultStore {
	return &resultStore{byDigest: map[siblings.RequestDigest]*requestResult{}, memory: memory}
}

// end begins a request and resolves it with an answer.
func (s *resultStore) end(n uint64, answer string) *requestResult {
	own, _ := s.begin(siblings.RequestIdentity{Digest: siblings.RequestDigest{n, 1}}, nil, nil)
	s.resolve(own, siblings.ResultAnswer, []byte(answer))
	return own
}

// Results must not take the memory of the requests in flight. Answers that clients have got go first: such a client is less
// likely to ask again. That a request may have run is kept longer than its answer, as it must not run again.
func TestResultsKeepWithinMemory(t *testing.T) {
	memory := transport.NewMemoryAccount(2 * minResults * memoryPerResult * resultMemoryDivisor)
	limit := memory.Limit() / resultMemoryDivisor
	s := newTestResults(memory)
	const undelivered = minResults / 2
	for n := range uint64(undelivered) {
		s.end(n, "v")
	}
	for n := range uint64(minResults) {
		s.recordDelivery(s.end(undelivered+n, strings.Repeat("v", 60_000)))
	}
	if memory.InUse() > limit || memory.InUse() < limit/2 {
		t.Errorf("%d bytes in use, want at most %d, and half of it at least", memory.InUse(), limit)
	}
	for n := range uint64(undelivered + minResults) {
		result := s.find(siblings.RequestDigest{n, 1})
		if result == nil {
			t.Fatalf("nothing is known of request %d", n)
		}
		if isFirst := n < undelivered; isFirst && string(result.answer) != "v" {
			t.Fatalf("the answer of request %d, which no client has got, is %q", n, result.answer)
		}
	}
	for n := range uint64(4 * minResults) {
		s.end(1<<32+n, strings.Repeat("v", 60_000))
	}
	if memory.InUse() > limit || len(s.byDigest) < minResults {
		t.Errorf("%d bytes in use for %d results, want at most %d, for %d at least", memory.InUse(), len(s.byDigest), limit, minResults)
	}
	for result := range s.byDigest {
		s.byDigest[result].expiresAt = time.Now()
	}
	if s.expire(time.Now()); memory.InUse() != 0 || len(s.byDigest) != 0 {
		t.Errorf("%d bytes and %d results are left after all have expired", memory.InUse(), len(s.byDigest))
	}
}

// beginBooking has the first of two clients send a booking to a balancer before a scripted server.
func beginBooking(t *testing.T, changes map[string]any) (b *Balancer, server *fakes.Host, first, second *net.TCPConn) {
	server = scriptedServer(t)
	b = newBalancerBefore(t, server.Address, changes)
	address := serveClients(t, b)
	first, second = dial(t, address), dial(t, address)
	io.WriteString(first, bookCommand())
	return b, server, first, second
}

// The server rejects a booking that has come again after its client has left: it has not run, and the second one runs.
func TestRepeatedRequestRunsIfTheFirstHasNot(t *testing.T) {
	b, s, first, second := beginBooking(t, map[string]any{"allowed.mostTrips": 1.0})
	attempt := receive(t, s.Commands, "the booking")
	first.Close()
	io.WriteString(second, bookCommand())
	until(t, "the second one waits for the first", func() bool { return b.counted(counterRepeated) == 1 })
	attempt.Reply("-BUSY\r\n")
	receive(t, s.Commands, "the booking once more").Reply(fakes.ValueReply("v"))
	if got := readReply(t, second); got != "v" {
		t.Errorf("the second reply is %q, want v", got)
	}
}

// The server rejects a booking whose ID another client sends too: the first client gets the rejection, the other one an error, and
// nothing runs.
func TestOpenIDGetsErrorIfTheFirstHasNotRun(t *testing.T) {
	b, s, first, second := beginBooking(t, map[string]any{"allowed.mostTrips": 1.0})
	attempt := receive(t, s.Commands, "the booking")
	io.WriteString(second, bookCommand())
	until(t, "the second one waits", func() bool { return b.counted(counterContested) == 1 })
	attempt.Reply("-BUSY\r\n")
	if got := readReply(t, first); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("the first reply is %q, want -BUSY", got)
	}
	if got := readReply(t, second); !strings.HasPrefix(got, "-ERR") || len(s.Commands) > 0 {
		t.Errorf("the second reply is %q, and %d bookings more; want -ERR, and none", got, len(s.Commands))
	}
}

// A client leaves and another one comes with its ID before the end of its connection is known: it waits for that, and gets the
// result of the first one.
func TestRepeatWaitsForTheEndOfTheFirstConnection(t *testing.T) {
	b, s, first, second := beginBooking(t, nil)
	attempt := receive(t, s.Commands, "the booking")
	io.WriteString(second, bookCommand())
	until(t, "the second one waits", func() bool { return b.counted(counterContested) == 1 })
	first.Close()
	until(t, "the second one shares the result", func() bool { return b.counted(counterRepeated) == 1 })
	attempt.Reply(fakes.ValueReply("v"))
	if got := readReply(t, second); got != "v" || len(s.Commands) > 0 {
		t.Errorf("the second reply is %q, and %d bookings more; want v, and none", got, len(s.Commands))
	}
}

// A booking fails after it may have run. One that comes again is neither sent nor rejected, which would promise that it has
// not run.
func TestRepeatedRequestSharesAFailure(t *testing.T) {
	s := scriptedServer(t)
	address := serveClients(t, newBalancerBefore(t, s.Address, nil))
	first, second := dial(t, address), dial(t, address)
	io.WriteString(first, bookCommand())
	receive(t, s.Commands, "the booking").Close()
	if got := readReply(t, first); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("the reply is %q, want -ERR", got)
	}
	io.WriteString(second, bookCommand())
	if got := readReply(t, second); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("the second reply is %q, want -ERR", got)
	}
	if len(s.Commands) > 0 {
		t.Error("a booking that may have run is sent again")
	}
}

// A stamped write whose result is not known comes again after the window in which servers drop repeats: it must not run again,
// and is not rejected.
func TestRepeatedWriteStaysInTheWindowOfTheFirst(t *testing.T) {
	const window = 600 * time.Millisecond
	r, err := fakes.NewRecorder("s", func(fakes.Attempt) fakes.Response { return fakes.Response{Reset: true} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	b := newBalancerBefore(t, r.Address, map[string]any{"workloads.1.dedupWindow": float64(window.Milliseconds())})
	address := serveClients(t, b)
	first, second := dial(t, address), dial(t, address)
	io.WriteString(first, fakes.EncodeCommand("C.SET", "k", "id", "c=report,t=acme,d=500,k=5c", "v"))
	readReply(t, first)
	attempts := r.Attempts()
	if len(attempts) == 0 {
		t.Fatal("no attempt")
	}
	time.Sleep(time.Until(attempts[0].Begun.Add(window)))
	io.WriteString(second, fakes.EncodeCommand("C.SET", "k", "id", "c=report,t=acme,d=500,k=5c", "v"))
	if got := readReply(t, second); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("the reply after the window is %q, want -ERR", got)
	}
	if late := len(r.Attempts()) - len(attempts); late > 0 {
		t.Errorf("%d attempts over %v after the first", late, window)
	}
}

func bookCommand() string {
	return fakes.EncodeCommand("C.SET", "k", "id", "c=book,t=acme,d=3000", "v")
}

// Whoever knows how digests are made must not be able to give a request the digest of another one: each part counts with its
// length, and none of what a server gets is left out.
func TestContentTellsRequestsApart(t *testing.T) {
	words := func(words ...string) (arguments [][]byte) {
		for _, word := range words {
			arguments = append(arguments, []byte(word))
		}
		return arguments
	}
	first := requestContent(words("C.SET", "k", "id", "c=book,t=acme,d=500,k=5c", "v"))
	for _, same := range []string{"c=book,t=acme,d=80,k=5c", "c=book,t=acme,d=500,k=5c,r=1"} {
		if requestContent(words("C.SET", "k", "id", same, "v")) != first {
			t.Errorf("%s: not the same request, although a client that comes again may send it", same)
		}
	}
	for _, other := range [][][]byte{
		words("C.SET", "k", "id", "c=book,t=other,d=500,k=5c", "v"), words("C.SET", "k", "id", "c=book,t=acme,d=500,k=5d", "v"),
		words("C.SET", "k", "id", "c=report,t=acme,d=500,k=5c", "v"), words("C.SET", "k", "id", "c=book,t=acme,d=500,k=5c", "w"),
		words("C.SET", "k", "id", "c=book,t=acme,d=500", "v"), words("C.SET", "k", "id", "c=book,t=acme,d=500,k=5c,size=9", "v"),
		words("C.SET", "ki", "d", "c=book,t=acme,d=500,k=5c", "v"), words("C.GET", "k", "id", "c=book,t=acme,d=500,k=5c"),
	} {
		if requestContent(other) == first {
			t.Errorf("%q: the same request as another", other)
		}
	}
}
