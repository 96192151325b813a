package transport

import (
	"testing"
	"time"
)

// A peer sends more than the buffer holds, and it is read in parts. No byte may be lost or out of place, the buffer
// must stay within MaxBuffer, and a large buffer must be released once it is empty.
func TestBufferGrowsIsCompactedAndIsBounded(t *testing.T) {
	address, accepted := startPeer(t)
	conn := connect(t, NewPool(1, time.Minute, time.Second), address)
	server := <-accepted
	text := make([]byte, MaxBuffer+1)
	for i := range text {
		text[i] = byte(i * 7)
	}
	go server.Write(text)
	for done := 0; done < initialBuffer; {
		if end := conn.Fill(testDeadline()); end != Open {
			t.Fatal(end)
		}
		n := min(100, len(conn.Unread()))
		for i, c := range conn.Unread()[:n] {
			if c != text[done+i] {
				t.Fatalf("byte %d differs", done+i)
			}
		}
		conn.Skip(n)
		done += n
	}
	go server.Write(text)
	for end := Open; end != Malformed; end = conn.Fill(testDeadline()) {
		if end != Open || len(conn.buffer) > MaxBuffer {
			t.Fatal(end, len(conn.buffer))
		}
	}
	conn.Skip(len(conn.Unread()))
	if conn.buffer != nil {
		t.Fatal("an empty large buffer is not released")
	}
}
