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

// checkGolden compares what a run gave with the file of testdata that an earlier run of the same wrote.
func checkGolden(t *testing.T, file string, got []byte) {
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

var goldenStates = []MemberState{
	{Name: "p"},
	{Name: "p1", Zone: "z1", Incarnation: 3, IsReplica: true, IsLeader: true, HasLease: true, MinRevision: 4, LatestRevision: 5, ListIndex: 6, ListDigest: 7,
		Drains: []DrainedEndpoint{{"h1:1", 8}, {"h2:1", 9}}, SettingsDigest: "0123456789abcdef", Evacuations: []ZoneEvacuation{{"z2", 0.25}}, Seq: 10, CompleteListsDigest: 11},
	stateWithLongLists("names of usual length", 20, 8),
	stateWithLongLists("the longest names", 512, maxNameBytes),
	stateWithLongLists("few zones", 30, 1),
}

// Members of two versions talk to each other during an upgrade. Were a state's keys, their order or what is cut from
// its lists to change, the older ones would take other lists for complete, or no state at all.
func TestStateBytesGolden(t *testing.T) {
	var lines bytes.Buffer
	for _, complete := range goldenStates {
		for _, form := range []struct {
			name  string
			room  int
			paged bool
		}{{"whole", maxMessageBytes, false}, {"paged", maxMessageBytes, true}, {"one datagram", maxDatagramBytes - 1, true}, {"within 400", 400, true}, {"within 256", minStateBytes, false}} {
			short := complete.truncate(form.room, form.paged)
			text, err := json.Marshal(short)
			if err != nil {
				t.Fatal(err)
			}
			packed := marshalState(short)
			fmt.Fprintf(&lines, "%.10s, %s: %d bytes, %d drains, %d zones, cbor %x, json %x\n", complete.Name, form.name, len(packed), len(short.Drains),
				len(short.Evacuations), sha256.Sum256(packed), sha256.Sum256(text))
		}
	}
	fmt.Fprintf(&lines, "%x\n", marshalState(goldenStates[1]))
	for _, rate := range []float64{0, 1000, 100_000, 1e6, 1e9} {
		limiter := rateLimiter{bytesPerSecond: rate}
		fmt.Fprintf(&lines, "at %v: %d, %d\n", rate, limiter.maxStateBytes(0), limiter.maxStateBytes(700))
	}
	checkGolden(t, "cards.golden", lines.Bytes())
}

// A member that frames its messages in another way is not understood by those of the version before: a lease is
// requested and never granted, though both are up.
func TestFramesGolden(t *testing.T) {
	address := freeAddressOn(t, "127.106.0.1")
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
	exchange, err := OpenPlain("p0", freeAddressOn(t, "127.106.0.3"), []Peer{{Name: "p1", Address: address}}, 0, &recordingDelegate{})
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	var lines bytes.Buffer
	for _, act := range []func(){
		func() { exchange.PublishState(goldenStates[1]) }, func() { exchange.PublishState(goldenStates[2]) }, func() { exchange.RequestFullState("p1") }, func() { exchange.Broadcast([]byte("signal")) },
		func() { exchange.Send("p1", []byte("message")) }, func() { exchange.Send("p1", bytes.Repeat([]byte("m"), maxDatagramBytes-1)) },
	} {
		act()
		datagrams.SetReadDeadline(time.Now().Add(10 * time.Second))
		frame := make([]byte, 2*maxDatagramBytes)
		n, _, err := datagrams.ReadFrom(frame)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "datagram: %d bytes, begins %x, %x\n", n, frame[:min(n, 8)], sha256.Sum256(frame[:n]))
	}
	for _, act := range []func(){func() { exchange.Send("p1", bytes.Repeat([]byte("m"), maxDatagramBytes)) }, func() { exchange.handleFrame([]byte("\x04p1")) }} {
		act() // The second is a peer that asks for the state published last, with complete lists.
		c, err := stream.Accept()
		if err != nil {
			t.Fatal(err)
		}
		frame, err := io.ReadAll(c)
		c.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "connection: %d bytes, begins %x, %x\n", len(frame), frame[:8], sha256.Sum256(frame))
	}
	checkGolden(t, "frames.golden", lines.Bytes())
}

// Which of two states counts, whose complete lists stay and who is forgotten decides which hosts drain for this
// process. A change of that shows only where members come, go and restart together.
func TestMemberTableGolden(t *testing.T) {
	chances, sum, now := rand.New(rand.NewPCG(1, 2)), sha256.New(), time.Unix(1_700_000_000, 0)
	var table memberTable
	updated, listed, partial, gone := 0, 0, 0, 0
	number := func(numbers ...int) {
		for _, n := range numbers {
			sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
		}
	}
	for step := range 1500 {
		now = now.Add(time.Duration(chances.IntN(60)) * time.Millisecond)
		if step%400 == 399 {
			now = now.Add([]time.Duration{goneTimeout, 61 * goneTimeout}[step/400%2])
		}
		state := stateWithLongLists(fmt.Sprint("p", chances.IntN(14)), 20, 8)
		state.Incarnation, state.Seq = uint64(1+step/600-chances.IntN(2)), uint64(step-chances.IntN(30))
		if state.Drains = state.Drains[step/250:]; chances.IntN(3) > 0 {
			state = state.truncate(maxDatagramBytes-1, true)
		}
		if table.update(state, now) {
			number(step)
			updated++
		}
		if chances.IntN(200) == 0 {
			table.remove(fmt.Sprint("p", chances.IntN(14)))
		}
		if step%5 > 0 {
			continue
		}
		for _, m := range table.list(now) {
			listed++
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
	checkGolden(t, "members.golden", fmt.Appendf(nil, "%x: %d cards taken; of %d listed, %d partial, %d gone\n", sum.Sum(nil), updated, listed, partial, gone))
}

// Leases go before states and states before broadcasts, however much there is to send; a change of what is reserved for
// which shows only in an incident, when leases expire.
func TestLimitsGolden(t *testing.T) {
	var lines bytes.Buffer
	for _, rate := range []float64{0, 900, 20_000, 1e6} {
		chances, sum, now := rand.New(rand.NewPCG(3, 4)), sha256.New(), time.Unix(1_700_000_000, 0)
		limiter, sent, refused := rateLimiter{bytesPerSecond: rate}, map[byte]int{}, 0
		for range 5000 {
			now = now.Add(time.Duration(chances.IntN(5000)) * time.Microsecond)
			bytes, kind := chances.IntN(1300), byte(1+chances.IntN(4))
			if limiter.take(bytes, frameKind(kind), now) {
				sent[kind] += bytes
				sum.Write([]byte{kind})
			} else {
				sum.Write([]byte{0})
				refused++
			}
		}
		fmt.Fprintf(&lines, "at %v: %x, sent %v, not sent %d\n", rate, sum.Sum(nil), sent, refused)
	}
	places, out := largeMessageLimiter{maxInFlight: 3}, 0
	for _, bytes := range []int{1, maxLargeBytesInFlight, maxLargeBytesInFlight - 1, 1, 0, 0, 0} {
		begun := places.acquire(bytes)
		if begun {
			out++
		}
		fmt.Fprintf(&lines, "large, %d bytes: %t\n", bytes, begun)
	}
	places.release(maxLargeBytesInFlight - 1)
	fmt.Fprintf(&lines, "%d out; again: %t %t %t\n", out, places.acquire(2), places.acquire(maxLargeBytesInFlight), places.acquire(1))
	checkGolden(t, "rate.golden", lines.Bytes())
}

// Bytes of a stranger, or of a peer whose memory is damaged, are no state; which of them are taken may not change
// unseen.
func TestDamagedStatesGolden(t *testing.T) {
	chances, sum, taken := rand.New(rand.NewPCG(5, 6)), sha256.New(), 0
	long := MemberState{Name: string(bytes.Repeat([]byte("n"), maxNameBytes+1))}
	many := MemberState{Name: "p", Drains: make([]DrainedEndpoint, maxDrains+1)}
	for _, packed := range [][]byte{nil, {0xa0}, marshalState(long), marshalState(many), {0x9f, 0xff}} {
		if c, err := unmarshalState(packed); err == nil {
			t.Errorf("%.20x is taken as %.20s", packed, c.Name)
		}
	}
	valid := marshalState(goldenStates[1])
	for range 20_000 {
		packed := bytes.Clone(valid)
		for range 1 + chances.IntN(3) {
			packed[chances.IntN(len(packed))] ^= byte(1 << chances.IntN(8))
		}
		c, err := unmarshalState(packed[:len(packed)-chances.IntN(2)*chances.IntN(4)])
		if err != nil {
			sum.Write([]byte{0})
			continue
		}
		taken++
		sum.Write(marshalState(c))
	}
	checkGolden(t, "damaged.golden", fmt.Appendf(nil, "%x: %d taken of 20000\n", sum.Sum(nil), taken))
}

// Gossip carries a member's state in its broadcasts and in the push/pull of two members; a member of the version before
// reads both. A frame leads to the same calls whichever exchange received it.
func TestGossipFramesGolden(t *testing.T) {
	gossiped := &recordingDelegate{}
	g, err := OpenGossip("p0", freeAddressOn(t, "127.106.0.2"), nil, 0, gossiped)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	callbacks := &memberlistDelegate{g}
	plain := &Plain{exchangeBase: exchangeBase{name: "p0", delegate: &recordingDelegate{}}}
	other := goldenStates[1]
	frame := append([]byte{byte(frameState)}, marshalState(other)...)
	var lines bytes.Buffer
	for _, frame := range [][]byte{{}, {byte(frameMessage)}, {byte(frameMessage), 7}, {byte(frameBroadcast), 8}, {5, 9}, {0, 1}, {byte(frameState), 0xff}, frame, frame, {byte(frameStateRequest), 'q'},
		append([]byte{byte(frameState)}, marshalState(MemberState{Name: "p0", Seq: 1})...)} {
		callbacks.NotifyMsg(frame)
		plain.handleFrame(frame)
	}
	callbacks.MergeRemoteState(append([]byte{byte(frameState)}, marshalState(MemberState{Name: "p2", Seq: 1})...), false)
	callbacks.MergeRemoteState([]byte{byte(frameMessage), 7}, false)
	for _, e := range []*recordingDelegate{plain.delegate.(*recordingDelegate), gossiped} {
		fmt.Fprintf(&lines, "messages %x, cards %d, seq of p1 %d, of p2 %d\n", e.messages, len(e.states), e.states["p1"].Seq, e.states["p2"].Seq)
	}
	for _, c := range goldenStates {
		g.PublishState(c)
		fmt.Fprintf(&lines, "state %x, broadcasts", sha256.Sum256(callbacks.LocalState(false)))
		for _, broadcast := range callbacks.GetBroadcasts(0, 2*maxDatagramBytes) {
			fmt.Fprintf(&lines, " %x", sha256.Sum256(broadcast))
		}
		fmt.Fprintln(&lines)
	}
	checkGolden(t, "gossip.golden", lines.Bytes())
}
