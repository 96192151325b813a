package server

import (
	"fmt"
	"testing"
	"time"
)

// lineSink passes on each line that is written, and blocks the writer until it is taken.
type lineSink chan string

func (s lineSink) Write(line []byte) (int, error) {
	s <- string(line)
	return len(line), nil
}

func (s lineSink) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s:
		if got != want {
			t.Fatalf("the output gets %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the output does not get %q", want)
	}
}

// Lines are written one at a time, each as soon as the one before has come out. Guards against a line that stays in the
// process until there is another: a quiet process is then not seen to serve, or to be told of a drain.
func TestLogLineComesWithoutAnother(t *testing.T) {
	t.Parallel()
	output := make(lineSink)
	w := newLogWriter(output, 16)
	for n := range 300_000 {
		line := fmt.Sprint(n)
		w.Write([]byte(line))
		output.expect(t, line)
	}
	w.Close()
}

// The output blocks. Guards against a log that blocks the process, or keeps old lines and drops those that tell what
// happens now.
func TestBlockedLogDropsTheOldestLines(t *testing.T) {
	t.Parallel()
	output := make(lineSink)
	w := newLogWriter(output, 16)
	w.Write([]byte("first"))
	waitUntil(t, "the output", func() bool { return len(w.lines) == 0 }) // It has "first", and blocks.
	for n := range 100 {
		w.Write(fmt.Append(nil, n))
	}
	output.expect(t, "first")
	go w.Close()
	for n := 100 - 16; n < 100; n++ {
		output.expect(t, fmt.Sprint(n))
	}
	<-w.done
}
