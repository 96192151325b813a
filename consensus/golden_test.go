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

// traceHash hashes what a run does: bytes on the wire, stored records, numbers. No identifier of the code may get
// into it.
type traceHash struct{ hash.Hash }

func newTraceHash() *traceHash { return &traceHash{sha256.New()} }

func (tr *traceHash) add(values ...any) {
	if tr != nil {
		tr.Write(encode(values))
	}
}

// withoutBudgetShare encodes a message but for its budget share: with four holders and more, the last digit of that
// depends on the order in which the ledger of the budgets adds up a map, so it differs from run to run. Shares are in
// the recorded session, where two others are added.
func withoutBudgetShare(m *Message) []byte {
	if m.LeaseResponse == nil || m.LeaseResponse.BudgetShare == 0 {
		return m.Marshal()
	}
	g, rest := *m.LeaseResponse, *m
	g.BudgetShare, rest.LeaseResponse = 0, &g
	return rest.Marshal()
}

func (tr *traceHash) sum() string { return hex.EncodeToString(tr.Sum(nil)) }

// A rename or a split of a function that moves one draw, one message or one record is seen by no rule of a seeded
// run, and two processes of different builds, or one that starts again from its log, would then decide differently.
func TestGoldenTraces(t *testing.T) {
	var lines []string
	for _, replicas := range []int{3, 5, 7} {
		for seed := range uint64(3) {
			tr := newTraceHash()
			sim := runSimulation(t, seed, replicas, 25_000, func(sim *simulation) {
				sim.trace = tr
				for _, p := range sim.processes[:replicas] {
					p.disk.trace = tr // The disks of the first processes are there already.
				}
			})
			if sim.healAndCheck(replicas); sim.violation != "" {
				t.Fatalf("%d replicas, seed %d: %s", replicas, seed, sim.violation)
			}
			tr.add(sim.sent, len(sim.accepted), len(sim.refused), sim.longestContradiction)
			lines = append(lines, fmt.Sprintf("replicas=%d seed=%d versions=%d sent=%d sha256=%s\n", replicas, seed,
				len(sim.digests), sim.sent, tr.sum()))
		}
	}
	checkGolden(t, "traces.golden", []byte(strings.Join(lines, "")))
}

// encodingExamples are messages and records of every kind, each field filled.
func encodingExamples() (names []string, packed map[string][]byte) {
	digest, source, from := "d2", "127.0.0.1:7", uint64(9)
	change := Proposal{ID: "p1", Author: "op", Reason: "a reason", BaseRevision: 3, EjectEndpoints: []string{"a",
		"b"}, UnejectEndpoints: []string{"c"},
		Limits: map[string]int64{"held": 5, "quota.t": -1}, SettingsDigest: &digest, DiscoverySource: &source,
		MinListIndex: &from, EvacuateZones: []string{"z"}, RestoreZones: []string{"y"}}
	one := Revision{Number: 3, Config: ReplicatedConfig{EjectedEndpoints: []string{"c"},
		Limits: map[string]int64{"quota.t": 1}, EvacuatedZones: []string{"y"}}}
	two := change.next(one)
	later := Proposal{ID: "p2", EjectEndpoints: []string{"c"}, Limits: map[string]int64{}}
	members := map[string]uint64{"b0": 1, "b1": 1<<32 | 2}
	st := replicatedState{History: []Revision{one, two}, MinRevision: 3, Voters: members,
		Unaccepted: []unacceptedProposal{{change, 4}}, HistoryID: 7}
	long := initialState(7, members)
	for n := range 20 { // So large that it is written as a chain.
		c := Proposal{ID: fmt.Sprint("l", n), EjectEndpoints: slices.Repeat([]string{""}, 200)}
		for i := range c.EjectEndpoints {
			c.EjectEndpoints[i] = fmt.Sprintf("%03d-%s", n*200+i, strings.Repeat("h", 20))
		}
		long.History = append(long.History, c.next(long.latest()))
	}
	sum := sha256.Sum256(long.marshal())
	packed = map[string][]byte{
		"raft": (&Message{From: "b0", Raft: []byte{8, 3, 16, 1}}).Marshal(),
		"lease request": (&Message{From: "b0", LeaseRequest: &LeaseRequest{Seq: 5, Incarnation: 2, KnownRevision: 4,
			MinRevision: 3, ShareSeq: 1, RequestRate: 2.5, AcceptsDeltas: true}}).Marshal(),
		"grant, versions": (&Message{From: "b0", LeaseResponse: &LeaseResponse{Seq: 5, Leader: "b0", MinRevision: 3,
			Revisions: []Revision{one, two}, HistoryID: 7, BudgetShare: 0.25}}).Marshal(),
		"grant, steps": (&Message{From: "b0", LeaseResponse: &LeaseResponse{Seq: 5, Leader: "b0", MinRevision: 3,
			Deltas: []Proposal{change, later}, BaseRevision: 3, HistoryID: 7}}).Marshal(),
		"grant, leader": (&Message{From: "b1", LeaseResponse: &LeaseResponse{Leader: "b0"}}).Marshal(),
		"announcement": (&Message{From: "b0", Announcement: &Announcement{Incarnation: 2, Voters: members,
			IsBootstrap: true}}).Marshal(),
		"proposal": (&Message{From: "b0", Proposal: &change, Ticket: &ProposalTicket{Term: 3,
			IssuedAt: 1e12}}).Marshal(),
		"result": (&Message{From: "b0", ProposalResult: &ProposalResult{ID: "p1", Revision: 4, Reason: "no",
			IsFinal: true, Ticket: &ProposalTicket{Term: 3, IssuedAt: 1}}}).Marshal(),
		"record":       encode(record{Incarnation: 2, HardState: []byte{1}, Entry: []byte{2}, Snapshot: []byte{3}}),
		"entry":        encode(command{Propose: &change, Accept: "p1", Withdraw: "p2", MinRevision: 4}),
		"state":        st.marshal(),
		"state, chain": sum[:],
		"chain":        MarshalRevisions([]Revision{one, two, later.next(two)}),
		"digest":       []byte(two.Digest()),
		"strictest":    encode(strictest([]Revision{one, two, later.next(two)})),
	}
	for name := range packed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, packed
}

// While a fleet is upgraded, processes of two builds speak to each other, and a new build reads what an old one
// stored: the bytes stay.
func TestGoldenBytes(t *testing.T) {
	names, packed := encodingExamples()
	var lines []byte
	for _, name := range names {
		lines = fmt.Appendf(lines, "%s: %x\n", name, packed[name])
		if m, err := UnmarshalMessage(packed[name]); err == nil && !bytes.Equal(m.Marshal(), packed[name]) {
			t.Errorf("%s: not the same when unpacked and packed", name)
		}
	}
	checkGolden(t, "bytes.golden", lines)
}

// What discovery says of a host that drains decides whether it gets requests: the comparison of lists is the same,
// call for call.
func TestGoldenLists(t *testing.T) {
	draw, tr := rand.New(rand.NewPCG(3, 3)), newTraceHash()
	var own ListRollbackGuard
	var late PersistentCondition
	now := int64(1)
	for range 20_000 {
		now += draw.Int64N(20_000 * ms)
		listed := func() EndpointListState {
			l := EndpointListState{Name: fmt.Sprint("b", draw.IntN(4)), Index: draw.Uint64N(12),
				Digest: draw.Uint64N(3)}
			for range draw.IntN(4) {
				l.Drained = append(l.Drained, DrainedEndpoint{fmt.Sprint("h", draw.IntN(9)), draw.Uint64N(12)})
			}
			return l
		}
		others := []EndpointListState{listed(), listed(), listed()}
		before, went := own.Observe(now, listed())
		tr.add(len(before), went)
		c := CompareLists(draw.Uint64N(12), draw.Uint64N(3), append(others, before...))
		tr.add(c.DrainedEndpoints, c.PeerAhead, c.LatestIndex, c.ConflictingPeer, late.Observe(now, c.PeerAhead != "",
			30*time.Second))
	}
	checkGolden(t, "lists.golden", []byte(tr.sum()+"\n"))
}
