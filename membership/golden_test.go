package membership

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the files of testdata anew")

// golden compares what a run gave with the file of testdata that an earlier run of the same wrote.
func golden(t *testing.T, file string, got []byte) {
	t.Helper()
	file = "testdata/" + file
	if *update {
		if err := os.WriteFile(file, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s.\nGot:\n%s\nWant:\n%s", file, got, want)
	}
}

var goldenCards = []MemberState{
	{Name: "p"},
	{Name: "p1", Zone: "z1", Incarnation: 3, IsReplica: true, IsLeader: true, HasLease: true, MinRevision: 4, LatestRevision: 5, ListIndex: 6, ListDigest: 7,
		Drains: []DrainedEndpoint{{"h1:1", 8}, {"h2:1", 9}}, SettingsDigest: "0123456789abcdef", Evacuations: []ZoneEvacuation{{"z2", 0.25}}, Seq: 10, More: 11},
	full("names of usual length", 20, 8),
	full("the longest names", 512, maxName),
	full("few zones", 30, 1),
}

// Members of two versions talk to each other during an upgrade. Were a card's keys, their order or what is cut from its
// lists to change, the older ones would take other lists for whole, or no card at all.
func TestCardBytesGolden(t *testing.T) {
	var lines bytes.Buffer
	for _, c := range goldenCards {
		for _, form := range []struct {
			name  string
			room  int
			paged bool
		}{{"whole", maxMessage, false}, {"paged", maxMessage, true}, {"one datagram", packet - 1, true}, {"within 400", 400, true}, {"within 256", leastCard, false}} {
			short := c.within(form.room, form.paged)
			text, err := json.Marshal(short)
			if err != nil {
				t.Fatal(err)
			}
			packed := packCard(short)
			fmt.Fprintf(&lines, "%.10s, %s: %d bytes, %d drains, %d zones, cbor %x, json %x\n", c.Name, form.name, len(packed), len(short.Drains),
				len(short.Evacuations), sha256.Sum256(packed), sha256.Sum256(text))
		}
	}
	fmt.Fprintf(&lines, "%x\n", packCard(goldenCards[1]))
	for _, rate := range []float64{0, 1000, 100_000, 1e6, 1e9} {
		fmt.Fprintf(&lines, "at %v: %d, %d\n", rate, cardRoom(rate, 0), cardRoom(rate, 700))
	}
	golden(t, "cards.golden", lines.Bytes())
}

// A member that frames its messages in another way is not heard by those of the version before: a lease is asked for and
// never granted, though both are there.
func TestFramesGolden(t *testing.T) {
	address := freeAt(t, "127.106.0.1")
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer datagrams.Close()
	stream, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	x, err := OpenPlain("p0", freeAt(t, "127.106.0.3"), []Peer{{Name: "p1", Address: address}}, 0, &ears{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	var lines bytes.Buffer
	for _, act := range []func(){
		func() { x.PublishState(goldenCards[1]) }, func() { x.PublishState(goldenCards[2]) }, func() { x.RequestFullState("p1") }, func() { x.Broadcast([]byte("signal")) },
		func() { x.Send("p1", []byte("message")) }, func() { x.Send("p1", bytes.Repeat([]byte("m"), packet-1)) },
	} {
		act()
		datagrams.SetReadDeadline(time.Now().Add(10 * time.Second))
		framed := make([]byte, 2*packet)
		n, _, err := datagrams.ReadFrom(framed)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "datagram: %d bytes, begins %x, %x\n", n, framed[:min(n, 8)], sha256.Sum256(framed[:n]))
	}
	for _, act := range []func(){func() { x.Send("p1", bytes.Repeat([]byte("m"), packet)) }, func() { x.take([]byte("\x04p1")) }} {
		act() // The second is a peer that wants the card that was told last, whole.
		c, err := stream.Accept()
		if err != nil {
			t.Fatal(err)
		}
		framed, err := io.ReadAll(c)
		c.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "connection: %d bytes, begins %x, %x\n", len(framed), framed[:8], sha256.Sum256(framed))
	}
	golden(t, "frames.golden", lines.Bytes())
}

// Which of two cards counts, whose whole lists stay and who is forgotten decides which hosts drain for this process. A
// change of that shows only where members come, go and restart together.
func TestMemberTableGolden(t *testing.T) {
	chances, sum, now := rand.New(rand.NewPCG(1, 2)), sha256.New(), time.Unix(1_700_000_000, 0)
	var h heard
	taken, kept, partial, gone := 0, 0, 0, 0
	number := func(numbers ...int) {
		for _, n := range numbers {
			sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
		}
	}
	for step := range 1500 {
		now = now.Add(time.Duration(chances.IntN(60)) * time.Millisecond)
		if step%400 == 399 {
			now = now.Add([]time.Duration{goneAfter, 61 * goneAfter}[step/400%2])
		}
		c := full(fmt.Sprint("p", chances.IntN(14)), 20, 8)
		c.Incarnation, c.Seq = uint64(1+step/600-chances.IntN(2)), uint64(step-chances.IntN(30))
		if c.Drains = c.Drains[step/250:]; chances.IntN(3) > 0 {
			c = c.within(packet-1, true)
		}
		if h.put(c, now) {
			number(step)
			taken++
		}
		if chances.IntN(200) == 0 {
			h.leave(fmt.Sprint("p", chances.IntN(14)))
		}
		if step%5 > 0 {
			continue
		}
		for _, m := range h.list(now) {
			kept++
			number(int(m.Incarnation), int(m.Seq), int(m.LastSeen.UnixNano()), len(m.Drains), len(m.Evacuations))
			if m.IsPartial() {
				number(-1)
				partial++
			}
			if m.IsGone(now) {
				number(-2)
				gone++
			}
		}
	}
	golden(t, "members.golden", fmt.Appendf(nil, "%x: %d cards taken; of %d listed, %d partial, %d gone\n", sum.Sum(nil), taken, kept, partial, gone))
}

// Leases go before cards and cards before signals, however much there is to say; a change of what is kept back for whom
// shows only in an incident, when leases are lost.
func TestRateGolden(t *testing.T) {
	var lines bytes.Buffer
	for _, rate := range []float64{0, 900, 20_000, 1e6} {
		chances, sum, now := rand.New(rand.NewPCG(3, 4)), sha256.New(), time.Unix(1_700_000_000, 0)
		b, sent := budget{rate: rate}, map[byte]int{}
		for range 5000 {
			now = now.Add(time.Duration(chances.IntN(5000)) * time.Microsecond)
			bytes, what := chances.IntN(1300), byte(1+chances.IntN(4))
			if b.take(bytes, what, now) {
				sent[what] += bytes
				sum.Write([]byte{what})
			} else {
				sum.Write([]byte{0})
			}
		}
		fmt.Fprintf(&lines, "at %v: %x, sent %v, not sent %d\n", rate, sum.Sum(nil), sent, b.Missed)
	}
	l, out := large{maxOut: 3}, 0
	for _, bytes := range []int{1, maxLargeBytes, maxLargeBytes - 1, 1, 0, 0, 0} {
		begun := l.begin(bytes)
		if begun {
			out++
		}
		fmt.Fprintf(&lines, "large, %d bytes: %t\n", bytes, begun)
	}
	l.end(maxLargeBytes - 1)
	fmt.Fprintf(&lines, "%d out; again: %t %t %t\n", out, l.begin(2), l.begin(maxLargeBytes), l.begin(1))
	golden(t, "rate.golden", lines.Bytes())
}

// Bytes of a stranger, or of a peer whose memory is damaged, are no card; which of them are taken may not change unseen.
func TestUnpackCardGolden(t *testing.T) {
	chances, sum, taken := rand.New(rand.NewPCG(5, 6)), sha256.New(), 0
	long := MemberState{Name: string(bytes.Repeat([]byte("n"), maxName+1))}
	many := MemberState{Name: "p", Drains: make([]DrainedEndpoint, maxDrains+1)}
	for _, packed := range [][]byte{nil, {0xa0}, packCard(long), packCard(many), {0x9f, 0xff}} {
		if c, err := unpackCard(packed); err == nil {
			t.Errorf("%.20x is taken as %.20s", packed, c.Name)
		}
	}
	whole := packCard(goldenCards[1])
	for range 20_000 {
		packed := bytes.Clone(whole)
		for range 1 + chances.IntN(3) {
			packed[chances.IntN(len(packed))] ^= byte(1 << chances.IntN(8))
		}
		c, err := unpackCard(packed[:len(packed)-chances.IntN(2)*chances.IntN(4)])
		if err != nil {
			sum.Write([]byte{0})
			continue
		}
		taken++
		sum.Write(packCard(c))
	}
	golden(t, "damaged.golden", fmt.Appendf(nil, "%x: %d taken of 20000\n", sum.Sum(nil), taken))
}

// What gossip carries on behalf of a card stands in its broadcasts and in the state that two members exchange; a member of
// the version before reads both. Each frame that comes leads to the same calls whichever way it came.
func TestGossipFramesGolden(t *testing.T) {
	heard := &ears{}
	g, err := OpenGossip("p0", freeAt(t, "127.106.0.2"), nil, 0, heard)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	plain := &Plain{name: "p0", ears: &ears{}}
	other := goldenCards[1]
	framed := append([]byte{isCard}, packCard(other)...)
	var lines bytes.Buffer
	for _, frame := range [][]byte{{}, {isMessage}, {isMessage, 7}, {isSignal, 8}, {5, 9}, {0, 1}, {isCard, 0xff}, framed, framed, {isWant, 'q'},
		append([]byte{isCard}, packCard(MemberState{Name: "p0", Seq: 1})...)} {
		g.NotifyMsg(frame)
		plain.take(frame)
	}
	g.MergeRemoteState(append([]byte{isCard}, packCard(MemberState{Name: "p2", Seq: 1})...), false)
	g.MergeRemoteState([]byte{isMessage, 7}, false)
	for _, e := range []*ears{plain.ears.(*ears), heard} {
		fmt.Fprintf(&lines, "messages %x, cards %d, seq of p1 %d, of p2 %d\n", e.messages, len(e.cards), e.cards["p1"].Seq, e.cards["p2"].Seq)
	}
	for _, c := range goldenCards {
		g.PublishState(c)
		fmt.Fprintf(&lines, "state %x, broadcasts", sha256.Sum256(g.LocalState(false)))
		for _, broadcast := range g.GetBroadcasts(0, 2*packet) {
			fmt.Fprintf(&lines, " %x", sha256.Sum256(broadcast))
		}
		fmt.Fprintln(&lines)
	}
	golden(t, "gossip.golden", lines.Bytes())
}
