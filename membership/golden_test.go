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

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// checkGolden compares the output of a test with a golden file in testdata. With -update it rewrites the file first.
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

// Members of different versions exchange states during an upgrade. Guards against changes to the keys of a state, their
// order or the truncation of lists, which would make older members reject states or take wrong lists for complete.
func TestStateBytesGolden(t *testing.T) {
	var lines bytes.Buffer
	// The names of the forms are part of the golden values, as is the word "cards" in other tests.
	for _, complete := range goldenStates {
		for _, form := range []struct {
			name       string
			maxBytes   int
			forPublish bool
		}{{"whole", maxMessageBytes, false}, {"paged", maxMessageBytes, true}, {"one datagram", maxDatagramBytes - 1, true}, {"within 400", 400, true}, {"within 256", minStateBytes, false}} {
			truncated := complete.truncate(form.maxBytes, form.forPublish)
			text, err := json.Marshal(truncated)
			if err != nil {
				t.Fatal(err)
			}
			encoded := marshalState(truncated)
			fmt.Fprintf(&lines, "%.10s, %s: %d bytes, %d drains, %d zones, cbor %x, json %x\n", complete.Name, form.name, len(encoded), len(truncated.Drains),
				len(truncated.Evacuations), sha256.Sum256(encoded), sha256.Sum256(text))
		}
	}
	fmt.Fprintf(&lines, "%x\n", marshalState(goldenStates[1]))
	for _, rate := range []float64{0, 1000, 100_000, 1e6, 1e9} {
		limiter := rateLimiter{bytesPerSecond: rate}
		fmt.Fprintf(&lines, "at %v: %d, %d\n", rate, limiter.maxStateBytes(0), limiter.maxStateBytes(700))
	}
	checkGolden(t, "cards.golden", lines.Bytes())
}

// Guards against changes to the frame format. Members of the previous version could not read the frames, so that lease
// requests would go unanswered although both processes are up.
func TestFramesGolden(t *testing.T) {
	address := freeAddressOn(t, "127.106.0.1")
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer datagrams.Close()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	exchange, err := OpenPlain("p0", freeAddressOn(t, "127.106.0.3"), []Peer{{Name: "p1", Address: address}}, 0, &recordingDelegate{})
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	var lines bytes.Buffer
	for _, send := range []func(){
		func() { exchange.PublishState(goldenStates[1]) }, func() { exchange.PublishState(goldenStates[2]) }, func() { exchange.RequestFullState("p1") }, func() { exchange.Broadcast([]byte("signal")) },
		func() { exchange.Send("p1", []byte("message")) }, func() { exchange.Send("p1", bytes.Repeat([]byte("m"), maxDatagramBytes-1)) },
	} {
		send()
		datagrams.SetReadDeadline(time.Now().Add(10 * time.Second))
		frame := make([]byte, 2*maxDatagramBytes)
		n, _, err := datagrams.ReadFrom(frame)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "datagram: %d bytes, begins %x, %x\n", n, frame[:min(n, 8)], sha256.Sum256(frame[:n]))
	}
	for _, send := range []func(){func() { exchange.Send("p1", bytes.Repeat([]byte("m"), maxDatagramBytes)) }, func() { exchange.handleFrame([]byte("\x04p1")) }} {
		send() // The second is a peer's request for the complete last published state.
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		frame, err := io.ReadAll(connection)
		connection.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "connection: %d bytes, begins %x, %x\n", len(frame), frame[:8], sha256.Sum256(frame))
	}
	checkGolden(t, "frames.golden", lines.Bytes())
}

// The member table decides which of two states is newer, whose complete lists are kept and which members are removed,
// and thus which endpoints this process considers draining. Guards against changes that show only when members join,
// leave and restart at the same time.
func TestMemberTableGolden(t *testing.T) {
	random, sum, now := rand.New(rand.NewPCG(1, 2)), sha256.New(), time.Unix(1_700_000_000, 0)
	var table memberTable
	updated, listed, partial, gone := 0, 0, 0, 0
	writeNumbers := func(numbers ...int) {
		for _, n := range numbers {
			sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
		}
	}
	for step := range 1500 {
		now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
		if step%400 == 399 {
			now = now.Add([]time.Duration{goneTimeout, 61 * goneTimeout}[step/400%2])
		}
		state := stateWithLongLists(fmt.Sprint("p", random.IntN(14)), 20, 8)
		state.Incarnation, state.Seq = uint64(1+step/600-random.IntN(2)), uint64(step-random.IntN(30))
		if state.Drains = state.Drains[step/250:]; random.IntN(3) > 0 {
			state = state.truncate(maxDatagramBytes-1, true)
		}
		if table.update(state, now) {
			writeNumbers(step)
			updated++
		}
		if random.IntN(200) == 0 {
			table.remove(fmt.Sprint("p", random.IntN(14)))
		}
		if step%5 > 0 {
			continue
		}
		for _, m := range table.list(now) {
			listed++
			writeNumbers(int(m.Incarnation), int(m.Seq), int(m.LastSeen.UnixNano()), len(m.Drains), len(m.Evacuations))
			if m.IsPartial() {
				writeNumbers(-1)
				partial++
			}
			if m.IsGone(now) {
				writeNumbers(-2)
				gone++
			}
		}
	}
	checkGolden(t, "members.golden", fmt.Appendf(nil, "%x: %d cards taken; of %d listed, %d partial, %d gone\n", sum.Sum(nil), updated, listed, partial, gone))
}

// Under load, messages with leases take precedence over states, and states over broadcasts. Guards against changes to
// the reserved fractions, which would show only in an incident, as expired leases.
func TestSendLimitsGolden(t *testing.T) {
	var lines bytes.Buffer
	for _, rate := range []float64{0, 900, 20_000, 1e6} {
		random, sum, now := rand.New(rand.NewPCG(3, 4)), sha256.New(), time.Unix(1_700_000_000, 0)
		limiter, sent, refused := rateLimiter{bytesPerSecond: rate}, map[byte]int{}, 0
		for range 5000 {
			now = now.Add(time.Duration(random.IntN(5000)) * time.Microsecond)
			bytes, kind := random.IntN(1300), byte(1+random.IntN(4))
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
	largeMessages, acquiredCount := largeMessageLimiter{maxInFlight: 3}, 0
	for _, bytes := range []int{1, maxLargeBytesInFlight, maxLargeBytesInFlight - 1, 1, 0, 0, 0} {
		acquired := largeMessages.acquire(bytes)
		if acquired {
			acquiredCount++
		}
		fmt.Fprintf(&lines, "large, %d bytes: %t\n", bytes, acquired)
	}
	largeMessages.release(maxLargeBytesInFlight - 1)
	fmt.Fprintf(&lines, "%d out; again: %t %t %t\n", acquiredCount, largeMessages.acquire(2), largeMessages.acquire(maxLargeBytesInFlight), largeMessages.acquire(1))
	checkGolden(t, "rate.golden", lines.Bytes())
}

// Corrupted states may come from unrelated senders or from peers with faulty memory. Guards against unnoticed changes
// to which of them are accepted.
func TestDamagedStatesGolden(t *testing.T) {
	random, sum, accepted := rand.New(rand.NewPCG(5, 6)), sha256.New(), 0
	long := MemberState{Name: string(bytes.Repeat([]byte("n"), maxNameBytes+1))}
	many := MemberState{Name: "p", Drains: make([]DrainedEndpoint, maxDrains+1)}
	for _, encoded := range [][]byte{nil, {0xa0}, marshalState(long), marshalState(many), {0x9f, 0xff}} {
		if c, err := unmarshalState(encoded); err == nil {
			t.Errorf("invalid input %.20x accepted as state of %.20q", encoded, c.Name)
		}
	}
	valid := marshalState(goldenStates[1])
	for range 20_000 {
		encoded := bytes.Clone(valid)
		for range 1 + random.IntN(3) {
			encoded[random.IntN(len(encoded))] ^= byte(1 << random.IntN(8))
		}
		state, err := unmarshalState(encoded[:len(encoded)-random.IntN(2)*random.IntN(4)])
		if err != nil {
			sum.Write([]byte{0})
			continue
		}
		accepted++
		sum.Write(marshalState(state))
	}
	checkGolden(t, "damaged.golden", fmt.Appendf(nil, "%x: %d taken of 20000\n", sum.Sum(nil), accepted))
}

// Gossip sends states in broadcasts and in push/pull syncs, and members of the previous version must be able to read
// both. A received frame must cause the same delegate calls in Gossip and Plain.
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
