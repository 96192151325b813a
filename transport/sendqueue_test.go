package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

const (
	queuedMessage = 1 << 20  // bytes: the kernel takes all of it, and a peer that does not read gets a part
	smallBuffer   = 16 << 10 // bytes
)

// connectToSlowPeer returns a connection and its peer, which has a small buffer and does not read by itself.
func connectToSlowPeer(t *testing.T) (*PooledConn, *net.TCPConn) {
	address, accepted := startPeer(t)
	conn := connect(t, NewPool(1, time.Minute, time.Second), address)
	peer := <-accepted
	peer.SetReadBuffer(smallBuffer)
	t.Cleanup(func() { peer.Close() })
	return conn, peer
}

// A write that was given up ran on a slow server, which got the rest of it from the kernel after the close. Whatever ends
// an attempt, the kernel sends no more of it.
func TestEndedAttemptLeavesNothingToTheKernel(t *testing.T) {
	for name, endAttempt := range map[string]func(*PooledConn){
		"cancelled":                (*PooledConn).Cancel,
		"released":                 func(conn *PooledConn) { conn.Release(false) },
		"cancelled, then released": func(conn *PooledConn) { conn.Cancel(); conn.Release(false) },
		"before its last byte":     func(conn *PooledConn) { conn.CancelUnsent() },
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connectToSlowPeer(t)
			if end := conn.SendPart(make([]byte, queuedMessage), testDeadline()); end != Open {
				t.Fatalf("got %v, want the message in the kernel", end)
			}
			endAttempt(conn)
			peer.SetReadDeadline(testDeadline())
			if got, _ := io.Copy(io.Discard, peer); got >= queuedMessage {
				t.Errorf("the peer gets all %d bytes, want a part and the end of the connection", got)
			}
		})
	}
}

// A server may reject a long write before it has read all of it. The next request on that connection would wait in the
// kernel behind the rest, so the connection is not used again.
func TestConnectionWithQueuedBytesIsNotReused(t *testing.T) {
	conn, peer := connectToSlowPeer(t)
	if end := conn.SendPart(make([]byte, queuedMessage), testDeadline()); end != Open {
		t.Fatalf("got %v, want the message in the kernel", end)
	}
	pool := conn.pool
	conn.Release(true)
	if n := pool.Count(); n != 0 {
		t.Errorf("%d connections are kept, want none", n)
	}
	peer.SetReadDeadline(testDeadline())
	if got, _ := io.Copy(io.Discard, peer); got >= queuedMessage {
		t.Errorf("the peer gets all %d bytes, want a part and the end of the connection", got)
	}
}

// testLastByte admits the last byte until its deadline, and then ends the attempt.
type testLastByte struct {
	deadline time.Time
	admitted chan time.Time // receives the expected arrival
}

func (l testLastByte) Deadline() time.Time { return l.deadline }

func (l testLastByte) Admit(arrival time.Time) End {
	if !time.Now().Before(l.deadline) {
		return TooLateToRepeat
	}
	l.admitted <- arrival
	return Open
}

// The kernel took a whole request that its server read a second later. The last byte waits until the kernel has sent the
// others, and is not sent at all after its deadline.
func TestLastByteWaitsForTheKernelsQueue(t *testing.T) {
	conn, peer := connectToSlowPeer(t)
	last := testLastByte{testDeadline(), make(chan time.Time, 1)}
	ended := make(chan End, 1)
	go func() { ended <- conn.SendHoldingQueued(make([]byte, queuedMessage), last.deadline, last) }()
	if _, err := io.CopyN(io.Discard, peer, queuedMessage/2); err != nil {
		t.Fatal(err)
	}
	select {
	case <-last.admitted:
		t.Error("the last byte is sent while the kernel holds others")
	default:
	}
	if _, err := io.CopyN(io.Discard, peer, queuedMessage/2); err != nil {
		t.Fatal(err)
	}
	if end := <-ended; end != Open {
		t.Errorf("got %v after all was read, want open", end)
	}

	conn, peer = connectToSlowPeer(t)
	late := testLastByte{time.Now().Add(20 * time.Millisecond), nil}
	if end := conn.SendHoldingQueued(make([]byte, queuedMessage), testDeadline(), late); end != TooLateToRepeat {
		t.Errorf("got %v at the deadline, want %v", end, TooLateToRepeat)
	}
	conn.Release(false)
	if got, _ := io.Copy(io.Discard, peer); got >= queuedMessage {
		t.Errorf("the peer gets all %d bytes, want a part and the end of the connection", got)
	}
}

// A server that closes, or responds, before the last byte is told from one that reads slowly.
func TestServerThatEndsBeforeTheLastByteIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(peer *net.TCPConn)
		want End
	}{
		"close":    {func(peer *net.TCPConn) { peer.CloseWrite() }, BrokenBeforeSent},
		"reset":    {func(peer *net.TCPConn) { peer.SetLinger(0); peer.Close() }, BrokenBeforeSent},
		"response": {func(peer *net.TCPConn) { io.WriteString(peer, "-BUSY\r\n") }, Open},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connectToSlowPeer(t)
			c.act(peer)
			last := testLastByte{testDeadline(), make(chan time.Time, 1)}
			if end := conn.SendHoldingQueued(make([]byte, queuedMessage), last.deadline, last); end != c.want {
				t.Errorf("got %v, want %v", end, c.want)
			}
		})
	}
}

// A server's buffer may take the rest of a message long before the server reads it, at the pace of the first part.
func TestExpectedArrivalFollowsTheServersPace(t *testing.T) {
	const length = 1000
	now := time.Now()
	for name, c := range map[string]struct {
		began, queuedAt time.Duration // before now
		queued          int
		want            time.Duration // after now; 0: now
	}{
		"nothing was queued":        {time.Second, time.Second, 0, 0},
		"read as fast as sent":      {time.Second, time.Second + sendQueuePollInterval, length, 0},
		"half of it was taken":      {time.Second, time.Second + sendQueuePollInterval, length / 2, time.Second},
		"within a look":             {time.Second, sendQueuePollInterval / 2, 1, 0},
		"most was read long before": {time.Second, 100*time.Millisecond + sendQueuePollInterval, length / 2, 0},
	} {
		got := expectedArrival(now, now.Add(-c.began), now.Add(-c.queuedAt), length, c.queued).Sub(now)
		if got != c.want {
			t.Errorf("%s: got %v from now, want %v", name, got, c.want)
		}
	}
}

// A copy was refused because its server paused while the kernel held little of it. The pace is taken from half of the
// message or more, so that a pause at its end does not count many times.
func TestPauseAtTheEndIsNotTakenForTheServersPace(t *testing.T) {
	const (
		length      = 4 << 20
		pause       = 60 * time.Millisecond
		maxExpected = 10 * pause // after the last byte; the pause times length over what the kernel holds is far more
	)
	conn, peer := connectToSlowPeer(t)
	conn.Conn.Conn.(*net.TCPConn).SetWriteBuffer(smallBuffer)
	last := testLastByte{testDeadline(), make(chan time.Time, 1)}
	go func() {
		io.CopyN(io.Discard, peer, length-2*smallBuffer)
		time.Sleep(pause)
		io.Copy(io.Discard, peer)
	}()
	if end := conn.SendHoldingQueued(make([]byte, length), last.deadline, last); end != Open {
		t.Fatalf("got %v, want open", end)
	}
	if ahead := time.Until(<-last.admitted); ahead > maxExpected {
		t.Errorf("the server is expected to read all in %v, want %v at the most", ahead, maxExpected)
	}
	conn.Release(false)
}
