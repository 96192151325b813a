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

var update = flag.Bool("update", false,
	"rewrite the files in testdata; only for an intended and documented change of behaviour")

// checkGolden fails the test if got differs from a file in testdata.
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

// traceHash hashes what a run does: messages, stored records and numbers. It must not include identifiers of the code,
// which may be renamed.
type traceHash struct{ hash.Hash }

func newTraceHash() *traceHash { return &traceHash{sha256.New()} }

func (tr *traceHash) add(values ...any) {
	if tr != nil {
		tr.Write(encode(values))
	}
}

// withoutBudgetShare encodes a message without its budget share. With four or more holders, the last digit of the share
// differs from run to run, as it depends on the order in which the budget ledger iterates over a map to add up shares.
// The recorded session covers budget shares: there, only two other shares are added.
func withoutBudgetShare(m *Message) []byte {
	if m.LeaseResponse == nil || m.LeaseResponse.BudgetShare == 0 {
		return m.Marshal()
	}
	response, message := *m.LeaseResponse, *m
	response.BudgetShare, message.LeaseResponse = 0, &response
	return message.Marshal()
}

func (tr *traceHash) sum() string { return hex.EncodeToString(tr.Sum(nil)) }

// Guards against a refactoring that moves a random draw, a message or a record. The invariants of the simulation do not
// notice it, but processes of different builds, or one that restarts from its log, would then decide differently.
func TestGoldenTraces(t *testing.T) {
	var lines []string
	for _, replicas := range []int{3, 5, 7} {
		for seed := range uint64(3) {
			tr := newTraceHash()
			sim := runSimulation(t, seed, replicas, 25_000, func(sim *simulation) {
				sim.trace = tr
				for _, p := range sim.processes[:replicas] {
					p.storage.trace = tr // This storage was created before the trace was set.
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

// encodingExamples returns encoded messages and records of every kind, with every field set, and their sorted names.
// The names are in the golden file.
func encodingExamples() (names []string, encoded map[string][]byte) {
	digest, source, minListIndex := "d2", "127.0.0.1:7", uint64(9)
	proposal := Proposal{ID: "p1", Author: "op", Reason: "a reason", BaseRevision: 3, EjectEndpoints: []string{"a",
		"b"}, UnejectEndpoints: []string{"c"},
		Limits: map[string]int64{"held": 5, "quota.t": -1}, SettingsDigest: &digest, DiscoverySource: &source,
		MinListIndex: &minListIndex, EvacuateZones: []string{"z"}, RestoreZones: []string{"y"}}
	first := Revision{Number: 3, Config: ReplicatedConfig{EjectedEndpoints: []string{"c"},
		Limits: map[string]int64{"quota.t": 1}, EvacuatedZones: []string{"y"}}}
	second := proposal.next(first)
	later := Proposal{ID: "p2", EjectEndpoints: []string{"c"}, Limits: map[string]int64{}}
	voters := map[string]uint64{"b0": 1, "b1": 1<<32 | 2}
	state := replicatedState{History: []Revision{first, second}, MinRevision: 3, Voters: voters,
		Unaccepted: []unacceptedProposal{{proposal, 4}}, HistoryID: 7}
	largeState := initialState(7, voters)
	for n := range 20 { // Large enough that the history is encoded as a chain.
		c := Proposal{ID: fmt.Sprint("l", n), EjectEndpoints: slices.Repeat([]string{""}, 200)}
		for i := range c.EjectEndpoints {
			c.EjectEndpoints[i] = fmt.Sprintf("%03d-%s", n*200+i, strings.Repeat("h", 20))
		}
		largeState.History = append(largeState.History, c.next(largeState.latest()))
	}
	largeStateSum := sha256.Sum256(largeState.marshal())
	encoded = map[string][]byte{
		"raft": (&Message{From: "b0", Raft: []byte{8, 3, 16, 1}}).Marshal(),
		"lease request": (&Message{From: "b0", LeaseRequest: &LeaseRequest{Seq: 5, Incarnation: 2, KnownRevision: 4,
			MinRevision: 3, ShareSeq: 1, RequestRate: 2.5, AcceptsDeltas: true}}).Marshal(),
		"grant, versions": (&Message{From: "b0", LeaseResponse: &LeaseResponse{Seq: 5, Leader: "b0", MinRevision: 3,
			Revisions: []Revision{first, second}, HistoryID: 7, BudgetShare: 0.25}}).Marshal(),
		"grant, steps": (&Message{From: "b0", LeaseResponse: &LeaseResponse{Seq: 5, Leader: "b0", MinRevision: 3,
			Deltas: []Proposal{proposal, later}, BaseRevision: 3, HistoryID: 7}}).Marshal(),
		"grant, leader": (&Message{From: "b1", LeaseResponse: &LeaseResponse{Leader: "b0"}}).Marshal(),
		"announcement": (&Message{From: "b0", Announcement: &Announcement{Incarnation: 2, Voters: voters,
			IsBootstrap: true}}).Marshal(),
		"proposal": (&Message{From: "b0", Proposal: &proposal, Ticket: &ProposalTicket{Term: 3,
			IssuedAt: 1e12}}).Marshal(),
		"result": (&Message{From: "b0", ProposalResult: &ProposalResult{ID: "p1", Revision: 4, Reason: "no",
			IsFinal: true, Ticket: &ProposalTicket{Term: 3, IssuedAt: 1}}}).Marshal(),
		"record":       encode(record{Incarnation: 2, HardState: []byte{1}, Entry: []byte{2}, Snapshot: []byte{3}}),
		"entry":        encode(command{Propose: &proposal, Accept: "p1", Withdraw: "p2", MinRevision: 4}),
		"state":        state.marshal(),
		"state, chain": largeStateSum[:],
		"chain":        MarshalRevisions([]Revision{first, second, later.next(second)}),
		"digest":       []byte(second.Digest()),
		"strictest":    encode(strictest([]Revision{first, second, later.next(second)})),
	}
	for name := range encoded {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, encoded
}

// Guards against a change of the encodings: during an upgrade, processes of two builds exchange messages, and the new
// build reads what the old one stored.
func TestGoldenBytes(t *testing.T) {
	names, encoded := encodingExamples()
	var lines []byte
	for _, name := range names {
		lines = fmt.Appendf(lines, "%s: %x\n", name, encoded[name])
		if m, err := UnmarshalMessage(encoded[name]); err == nil && !bytes.Equal(m.Marshal(), encoded[name]) {
			t.Errorf("%s: bytes differ after decoding and encoding", name)
		}
	}
	checkGolden(t, "bytes.golden", lines)
}

// Guards against a change of the comparison of endpoint lists, which decides whether a draining endpoint gets requests.
// Each call returns the same as in the recorded run.
func TestGoldenLists(t *testing.T) {
	draw, tr := rand.New(rand.NewPCG(3, 3)), newTraceHash()
	var guard ListRollbackGuard
	var lagging PersistentCondition
	now := int64(1)
	for range 20_000 {
		now += draw.Int64N(20_000 * ms)
		randomList := func() EndpointListState {
			list := EndpointListState{Name: fmt.Sprint("b", draw.IntN(4)), Index: draw.Uint64N(12),
				Digest: draw.Uint64N(3)}
			for range draw.IntN(4) {
				list.Drained = append(list.Drained, DrainedEndpoint{fmt.Sprint("h", draw.IntN(9)), draw.Uint64N(12)})
			}
			return list
		}
		others := []EndpointListState{randomList(), randomList(), randomList()}
		before, isNew := guard.Observe(now, randomList())
		tr.add(len(before), isNew)
		c := CompareLists(draw.Uint64N(12), draw.Uint64N(3), append(others, before...))
		tr.add(c.DrainedEndpoints, c.PeerAhead, c.LatestIndex, c.ConflictingPeer,
			lagging.Observe(now, c.PeerAhead != "", 30*time.Second))
	}
	checkGolden(t, "lists.golden", []byte(tr.sum()+"\n"))
}
