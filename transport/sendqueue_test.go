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
				t.Errorf("the peer gets all %d bytes", got)
			}
		})
	}
}
