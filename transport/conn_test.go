package transport

import (
	"testing"
	"time"
)

// A peer sends more than the buffer holds, read in parts. No byte is lost or moved, the buffer stays within its bound,
// and a large one is released once empty.
func TestBufferGrowsIsCompactedAndIsBounded(t *testing.T) {
	address, accepted := startPeer(t)
	line := connect(t, NewPool(1, time.Minute, time.Second), address)
	host := <-accepted
	text := make([]byte, MaxBuffer+1)
	for i := range text {
		text[i] = byte(i * 7)
	}
	go host.Write(text)
	for done := 0; done < initialBuffer; {
		if end := line.Fill(testDeadline()); end != Open {
			t.Fatal(end)
		}
		n := min(100, len(line.Unread()))
		for i, c := range line.Unread()[:n] {
			if c != text[done+i] {
				t.Fatalf("byte %d differs", done+i)
			}
		}
		line.Skip(n)
		done += n
	}
	go host.Write(text)
	for end := Open; end != Malformed; end = line.Fill(testDeadline()) {
		if end != Open || len(line.buffer) > MaxBuffer {
			t.Fatal(end, len(line.buffer))
		}
	}
	line.Skip(len(line.Unread()))
	if line.buffer != nil {
		t.Fatal("an empty large buffer is kept")
	}
}
