package consensus

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hollylever/store"
)

var update = flag.Bool("update", false, "write testdata anew: only for a change of behaviour that is meant and named")

// checkGolden compares with a file of testdata.
func checkGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs: behaviour has changed\ngot  %.600q\nwant %.600q", path, got, want)
	}
}

// trace hashes what a run does: bytes on the wire, stored records, numbers. No identifier of the code may get into it.
type trace struct{ hash.Hash }

func newTrace() *trace { return &trace{sha256.New()} }

func (tr *trace) add(values ...any) {
	if tr != nil {
		tr.Write(pack(values))
	}
}

// withoutPart packs a message but for the part of the budgets: with four holders and more its last digit depends on the order in which the
// ledger of the budgets adds up a map, so it differs from run to run. Parts are in the recorded session, where two others are added.
func withoutPart(m *Message) []byte {
	if m.LeaseResponse == nil || m.LeaseResponse.BudgetShare == 0 {
		return m.Marshal()
	}
	g, rest := *m.LeaseResponse, *m
	g.BudgetShare, rest.LeaseResponse = 0, &g
	return rest.Marshal()
}

func (tr *trace) sum() string { return hex.EncodeToString(tr.Sum(nil)) }

// A rename or a split of a function that moves one draw, one message or one record is seen by no rule of a seeded run, and two processes of
// different builds, or one that starts again from its log, would then decide differently.
func TestGoldenTraces(t *testing.T) {
	var lines []string
	for _, keepers := range []int{3, 5, 7} {
		for seed := range uint64(3) {
			tr := newTrace()
			w := play(t, seed, keepers, 25_000, func(w *town) { w.trace = tr })
			if w.calm(keepers); w.broken != "" {
				t.Fatalf("%d replicas, seed %d: %s", keepers, seed, w.broken)
			}
			tr.add(w.sent, len(w.settled), len(w.refused), w.worst)
			lines = append(lines, fmt.Sprintf("replicas=%d seed=%d versions=%d sent=%d sha256=%s\n", keepers, seed, len(w.digests), w.sent, tr.sum()))
		}
	}
	checkGolden(t, "traces.golden", []byte(strings.Join(lines, "")))
}

// examples are messages and records of every kind, each field filled.
func examples() (names []string, packed map[string][]byte) {
	digest, source, from := "d2", "127.0.0.1:7", uint64(9)
	change := Proposal{ID: "p1", Author: "op", Reason: "a reason", BaseRevision: 3, EjectEndpoints: []string{"a", "b"}, UnejectEndpoints: []string{"c"},
		Limits: map[string]int64{"held": 5, "quota.t": -1}, SettingsDigest: &digest, DiscoverySource: &source, MinListIndex: &from, EvacuateZones: []string{"z"}, RestoreZones: []string{"y"}}
	one := Revision{Number: 3, Config: ReplicatedConfig{EjectedEndpoints: []string{"c"}, Limits: map[string]int64{"quota.t": 1}, EvacuatedZones: []string{"y"}}}
	two := change.after(one)
	later := Proposal{ID: "p2", EjectEndpoints: []string{"c"}, Limits: map[string]int64{}}
	members := map[string]uint64{"b0": 1, "b1": 1<<32 | 2}
	st := state{History: []Revision{one, two}, Floor: 3, Voters: members, Candidates: []candidate{{change, 4}}, ID: 7}
	long := founding(7, members)
	for n := range 20 { // So large that it is written as a chain.
		c := Proposal{ID: fmt.Sprint("l", n), EjectEndpoints: slices.Repeat([]string{""}, 200)}
		for i := range c.EjectEndpoints {
			c.EjectEndpoints[i] = fmt.Sprintf("%03d-%s", n*200+i, strings.Repeat("h", 20))
		}
		long.History = append(long.History, c.after(long.latest()))
	}
	sum := sha256.Sum256(long.packed())
	packed = map[string][]byte{
		"raft":            (&Message{From: "b0", Raft: []byte{8, 3, 16, 1}}).Marshal(),
		"lease request":   (&Message{From: "b0", LeaseRequest: &LeaseRequest{Seq: 5, Incarnation: 2, KnownRevision: 4, MinRevision: 3, ShareSeq: 1, RequestRate: 2.5, AcceptsDeltas: true}}).Marshal(),
		"grant, versions": (&Message{From: "b0", LeaseResponse: &LeaseResponse{Seq: 5, Leader: "b0", MinRevision: 3, Revisions: []Revision{one, two}, HistoryID: 7, BudgetShare: 0.25}}).Marshal(),
		"grant, steps":    (&Message{From: "b0", LeaseResponse: &LeaseResponse{Seq: 5, Leader: "b0", MinRevision: 3, Deltas: []Proposal{change, later}, BaseRevision: 3, HistoryID: 7}}).Marshal(),
		"grant, leader":   (&Message{From: "b1", LeaseResponse: &LeaseResponse{Leader: "b0"}}).Marshal(),
		"announcement":    (&Message{From: "b0", Announcement: &Announcement{Incarnation: 2, Voters: members, IsBootstrap: true}}).Marshal(),
		"proposal":        (&Message{From: "b0", Proposal: &change, Ticket: &ProposalTicket{Term: 3, IssuedAt: 1e12}}).Marshal(),
		"result":          (&Message{From: "b0", ProposalResult: &ProposalResult{ID: "p1", Revision: 4, Reason: "no", IsFinal: true, Ticket: &ProposalTicket{Term: 3, IssuedAt: 1}}}).Marshal(),
		"record":          pack(record{Life: 2, Hard: []byte{1}, Entry: []byte{2}, Snapshot: []byte{3}}),
		"entry":           pack(entry{Propose: &change, Accept: "p1", Withdraw: "p2", Floor: 4}),
		"state":           st.packed(),
		"state, chain":    sum[:],
		"chain":           MarshalRevisions([]Revision{one, two, later.after(two)}),
		"digest":          []byte(two.Digest()),
		"strictest":       pack(strictest([]Revision{one, two, later.after(two)})),
	}
	for name := range packed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, packed
}

// While a fleet is upgraded, processes of two builds speak to each other, and a new build reads what an old one stored: the bytes stay.
func TestGoldenBytes(t *testing.T) {
	names, packed := examples()
	var lines []byte
	for _, name := range names {
		lines = fmt.Appendf(lines, "%s: %x\n", name, packed[name])
		if m, err := UnmarshalMessage(packed[name]); err == nil && !bytes.Equal(m.Marshal(), packed[name]) {
			t.Errorf("%s: not the same when unpacked and packed", name)
		}
	}
	checkGolden(t, "bytes.golden", lines)
}

// flightRecord is one message of a recorded session: when it arrived where.
type flightRecord struct {
	At    int64  `cbor:"1,keyasint"`
	From  int    `cbor:"2,keyasint"`
	To    int    `cbor:"3,keyasint"`
	Bytes []byte `cbor:"4,keyasint"`
}

// member is one process of a session; its draws are its own.
type member struct {
	n      int
	keeper *Replica
	holder *LeaseHolder
	disk   disk
	sent   []flightRecord
	now    int64
}

func (m *member) Send(to string, msg *Message) {
	m.sent = append(m.sent, flightRecord{m.now + ms, m.n, int(to[1] - '0'), msg.Marshal()})
}

// session runs the live ones of three replicas for some seconds; what the others say is recorded. It gives all that was said.
func session(t *testing.T, live []int, recorded []flightRecord) (all []flightRecord, members map[int]*member) {
	members = map[int]*member{}
	names := []string{"b0", "b1", "b2"}
	for _, n := range live {
		m := &member{n: n}
		draw := rand.New(rand.NewPCG(uint64(n), 1)).IntN
		m.holder = NewLeaseHolder(0, names[n], uint64(n+1), terms, names, m, draw)
		k, err := NewReplica(0, names[n], uint64(n+1), terms, names, nil, &m.disk, m, draw)
		if err != nil {
			t.Fatal(err)
		}
		m.keeper, members[n] = k, m
	}
	queue := slices.DeleteFunc(slices.Clone(recorded), func(f flightRecord) bool { return slices.Contains(live, f.From) })
	for now := int64(0); now < 2500*ms; now += ms {
		for at := 0; at < len(queue); at++ {
			if m := members[queue[at].To]; m != nil && queue[at].At == now {
				m.now = now
				msg, err := UnmarshalMessage(queue[at].Bytes)
				if err != nil {
					t.Fatal(err)
				}
				if msg.LeaseResponse != nil {
					m.holder.HandleLeaseResponse(now, msg.LeaseResponse)
				} else if msg.ProposalResult == nil {
					m.keeper.HandleMessage(now, msg)
				}
			}
		}
		for _, n := range live {
			m := members[n]
			m.now, m.holder.RequestRate = now, float64(100*(n+1))
			if m.keeper.Tick(now); n == 1 && now == 1500*ms {
				m.Send(m.holder.Leader(), &Message{From: "b1", Proposal: &Proposal{ID: "p", EjectEndpoints: []string{"h"}}, Ticket: &ProposalTicket{m.keeper.term, now}})
			}
			m.holder.Tick(now)
			all, queue, m.sent = append(all, m.sent...), append(queue, m.sent...), nil
		}
		slices.SortStableFunc(queue, func(a, b flightRecord) int { return (a.From - b.From) })
	}
	return all, members
}

// Members of the recorded build say what they said; one of this build joins them, leads or follows as then, and comes to the same lease: a
// fleet that is upgraded one process at a time goes on agreeing.
func TestAgreesWithARecordedBuild(t *testing.T) {
	said, _ := session(t, []int{0, 1, 2}, nil)
	checkGolden(t, "session.cbor", pack(said))
	file, err := os.ReadFile("testdata/session.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var recorded []flightRecord
	if err := strict.Unmarshal(file, &recorded); err != nil {
		t.Fatal(err)
	}
	leaders := 0
	for n := range 3 {
		again, members := session(t, []int{n}, recorded)
		own := slices.DeleteFunc(slices.Clone(recorded), func(f flightRecord) bool { return f.From != n })
		if !bytes.Equal(pack(again), pack(own)) {
			t.Errorf("b%d among recorded members says something else than then", n)
		}
		a := members[n].holder.EffectiveConfig(2500 * ms)
		if !a.IsLeased || a.LatestRevision != 2 || !slices.Equal(a.EjectedEndpoints, []string{"h"}) || a.BudgetShare <= 0 {
			t.Errorf("b%d comes to no lease on version 2 with the recorded members", n)
		}
		if members[n].keeper.IsLeader() {
			leaders++
		}
	}
	if leaders != 1 {
		t.Errorf("%d lead", leaders)
	}
}

// A replica that cannot read the log that its earlier build wrote has lost its vote; one that reads it otherwise begins a second history.
func TestOpensARecordedLog(t *testing.T) {
	const file = "testdata/replica.log"
	if *update {
		writeLog(t, file)
	}
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "replica.log")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	log, records, err := store.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	k, err := NewReplica(0, "b0", 99, terms, []string{"b0", "b1", "b2"}, records, log, nowhere{}, func(int) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	versions, floor := k.History()
	shown := fmt.Sprintf("records=%d life=%d founded=%t floor=%d applied=%d hard=%x voters=%x candidates=%x history=%x\n", len(records), k.life, k.IsBootstrapped(), floor,
		k.applied, mustProto(k.hard), pack(k.state.Voters), pack(k.state.Candidates), pack(versions))
	hasSnapshot := slices.ContainsFunc(records, func(bytes []byte) bool {
		var r record
		return strict.Unmarshal(bytes, &r) == nil && r.Snapshot != nil
	})
	if !hasSnapshot || len(records) < 4 {
		t.Error("the recorded log has no snapshot with records after it")
	}
	k.Tick(ms)
	versions, floor = k.History()
	shown += fmt.Sprintf("committed: floor=%d applied=%d history=%x\n", floor, k.applied, pack(versions))
	checkGolden(t, "replica.golden", []byte(shown))
}

// writeLog writes the log of a replica that put a snapshot in the place of its oldest records and went on.
func writeLog(t *testing.T, path string) {
	w := newTown(t, 11, 3, 0, true)
	run := func(span time.Duration) {
		for end := w.now + int64(span); w.now < end; {
			w.one()
		}
	}
	change := func(c Proposal) {
		w.propose(0, slices.IndexFunc(w.procs, func(p *proc) bool { return p.keeper.IsLeader() }), c)
		run(4 * time.Second)
	}
	run(10 * time.Second)
	digest := "d1"
	change(Proposal{Author: "op", Reason: "w", EjectEndpoints: []string{"h1", "h2"}, Limits: map[string]int64{"held": 7}})
	change(Proposal{Author: "op", EvacuateZones: []string{"z1"}, SettingsDigest: &digest})
	leads := slices.IndexFunc(w.procs, func(p *proc) bool { return p.keeper.IsLeader() })
	lost := 1 + leads%2 // b0 stays; a member of new life comes in the place of one that lost its state.
	w.procs[lost].disk = nil
	w.start(lost, true, 3)
	run(15 * time.Second)
	change(Proposal{Author: "op", UnejectEndpoints: []string{"h1"}, EjectEndpoints: []string{"h3"}})
	aside := filepath.Join(t.TempDir(), "replica.log")
	log, _, err := store.Open(aside)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	records := w.procs[0].disk.records
	if err := log.Replace(records[:2]); err == nil {
		err = log.Append(records[2:])
	}
	content, _ := os.ReadFile(aside)
	if err == nil {
		err = os.WriteFile(path, content, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// What discovery says of a host that drains decides whether it gets requests: the comparison of lists is the same, call for call.
func TestGoldenLists(t *testing.T) {
	draw, tr := rand.New(rand.NewPCG(3, 3)), newTrace()
	var own ListRollbackGuard
	var late PersistentCondition
	now := int64(1)
	for range 20_000 {
		now += draw.Int64N(20_000 * ms)
		listed := func() EndpointListState {
			l := EndpointListState{Name: fmt.Sprint("b", draw.IntN(4)), Index: draw.Uint64N(12), Digest: draw.Uint64N(3)}
			for range draw.IntN(4) {
				l.Drained = append(l.Drained, DrainedEndpoint{fmt.Sprint("h", draw.IntN(9)), draw.Uint64N(12)})
			}
			return l
		}
		others := []EndpointListState{listed(), listed(), listed()}
		before, went := own.Observe(now, listed())
		tr.add(len(before), went)
		c := CompareLists(draw.Uint64N(12), draw.Uint64N(3), append(others, before...))
		tr.add(c.DrainedEndpoints, c.PeerAhead, c.LatestIndex, c.ConflictingPeer, late.Observe(now, c.PeerAhead != "", 30*time.Second))
	}
	checkGolden(t, "lists.golden", []byte(tr.sum()+"\n"))
}
