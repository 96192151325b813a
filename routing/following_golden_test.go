package routing

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollylever/policy"
)

var updateFollowing = flag.Bool("update-following", false, "rewrite testdata/following.golden")

// chunkedReader returns text in chunks of random size.
type chunkedReader struct {
	text   []byte
	random *rand.Rand
}

func (r *chunkedReader) Read(into []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, io.EOF
	}
	n := copy(into, r.text[:min(len(r.text), 1+r.random.IntN(9))])
	r.text = r.text[n:]
	return n, nil
}

// A balancer that takes a watch for silent too early calls discovery repeatedly, at the same time as all others; one that
// does so too late works with an outdated list. The golden file pins down when an additional call is due, what counts
// as progress, and how changes are logged.
func TestFollowingGolden(t *testing.T) {
	var lines bytes.Buffer
	start := time.Unix(1_700_000_000, 0)
	timeouts := []watchTimeouts{protocolTimeouts, {line: 100, answer: 200, lastCall: 1000, spread: 50, giveUp: 500}}
	for n, t := range timeouts {
		fmt.Fprintln(&lines, int64(t.line), int64(t.answer), int64(t.lastCall), int64(t.spread), int64(t.giveUp))
		for _, isEstablished := range []bool{true, false} {
			for _, ago := range []time.Duration{-time.Hour, -t.lastCall, -1, 0, t.answer, t.giveUp - t.spread - t.lastCall, time.Hour} {
				w := listWatch{lastDeliveryAt: start, isEstablished: isEstablished}
				fmt.Fprintln(&lines, n, isEstablished, int64(ago), int64(w.overdueAt(t, start.Add(ago)).Sub(start)))
			}
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, text := range []string{"\n\n\n", "{\"a\":1}\n\n{\"b\":2}", "\n { \n } \n", "  \r\n[]", "{}{}{}\n"} {
		progress, empty := 0, 0
		s := &listStream{body: &chunkedReader{[]byte(text), random}, progress: func() { progress++ }, emptyLine: func() { empty++ }}
		for {
			n, err := s.Read(make([]byte, 64))
			fmt.Fprintln(&lines, n, err, s.isInList, s.size, progress, empty)
			if err != nil {
				break
			}
			if random.IntN(3) == 0 {
				s.listEnded(bytes.NewReader([]byte([]string{"", " \n", "{"}[random.IntN(3)])))
				fmt.Fprintln(&lines, "ended", s.isInList, s.size, progress, empty)
			}
		}
	}
	long := &listStream{body: bytes.NewReader(bytes.Repeat([]byte("["), maxListBytes+1)), progress: func() {}, emptyLine: func() {}}
	n, err := long.Read(make([]byte, maxListBytes+1))
	fmt.Fprintln(&lines, n, err)
	changes := listChanges{index: 7}
	for n := range 2*maxChangesPerLine + 3 {
		changes.add(fmt.Sprint("h", n), []policy.Health{policy.Ready, policy.Draining, policy.Removed}[n%3])
	}
	changes.log(zerolog.New(&lines))
	(&listChanges{}).log(zerolog.New(&lines))

	const file = "testdata/following.golden"
	if *updateFollowing {
		if err := os.WriteFile(file, lines.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(lines.Bytes(), want) {
		t.Errorf("behaviour of the list watch changed.\nGot:\n%s\nWant:\n%s", lines.Bytes(), want)
	}
}
