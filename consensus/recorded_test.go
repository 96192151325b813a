package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hollylever/store"
)

// recordedMessage is one message of a recorded session: when it arrived where.
type recordedMessage struct {
	At    int64  `cbor:"1,keyasint"`
	From  int    `cbor:"2,keyasint"`
	To    int    `cbor:"3,keyasint"`
	Bytes []byte `cbor:"4,keyasint"`
}

// sessionMember is one process of a session; its draws are its own.
type sessionMember struct {
	n       int
	replica *Replica
	holder  *LeaseHolder
	disk    memoryStorage
	sent    []recordedMessage
	now     int64
}

func (m *sessionMember) Send(to string, msg *Message) {
	m.sent = append(m.sent, recordedMessage{m.now + ms, m.n, int(to[1] - '0'), msg.Marshal()})
}

// runSession runs the live ones of three replicas for some seconds; what the others say is recorded. It gives all
// that was said.
func runSession(t *testing.T, live []int, recorded []recordedMessage) (all []recordedMessage,
	members map[int]*sessionMember) {
	members = map[int]*sessionMember{}
	names := []string{"b0", "b1", "b2"}
	for _, n := range live {
		m := &sessionMember{n: n}
		draw := rand.New(rand.NewPCG(uint64(n), 1)).IntN
		m.holder = NewLeaseHolder(0, names[n], uint64(n+1), testTiming, names, m, draw)
		r, err := NewReplica(0, names[n], uint64(n+1), testTiming, names, nil, &m.disk, m, draw)
		if err != nil {
			t.Fatal(err)
		}
		m.replica, members[n] = r, m
	}
	queue := slices.DeleteFunc(slices.Clone(recorded), func(f recordedMessage) bool {
		return slices.Contains(live,
			f.From)
	})
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
					m.replica.HandleMessage(now, msg)
				}
			}
		}
		for _, n := range live {
			m := members[n]
			m.now, m.holder.RequestRate = now, float64(100*(n+1))
			if m.replica.Tick(now); n == 1 && now == 1500*ms {
				m.Send(m.holder.Leader(), &Message{From: "b1", Proposal: &Proposal{ID: "p",
					EjectEndpoints: []string{"h"}}, Ticket: &ProposalTicket{m.replica.term, now}})
			}
			m.holder.Tick(now)
			all, queue, m.sent = append(all, m.sent...), append(queue, m.sent...), nil
		}
		slices.SortStableFunc(queue, func(a, b recordedMessage) int { return (a.From - b.From) })
	}
	return all, members
}

// Members of the recorded build say what they said; one of this build joins them, leads or follows as then, and comes
// to the same lease: a fleet that is upgraded one process at a time goes on agreeing.
func TestReplicatesWithRecordedBuild(t *testing.T) {
	said, _ := runSession(t, []int{0, 1, 2}, nil)
	checkGolden(t, "session.cbor", encode(said))
	file, err := os.ReadFile("testdata/session.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var recorded []recordedMessage
	if err := strictDecoding.Unmarshal(file, &recorded); err != nil {
		t.Fatal(err)
	}
	leaders := 0
	for n := range 3 {
		again, members := runSession(t, []int{n}, recorded)
		own := slices.DeleteFunc(slices.Clone(recorded), func(f recordedMessage) bool { return f.From != n })
		if !bytes.Equal(encode(again), encode(own)) {
			t.Errorf("b%d among recorded members says something else than then", n)
		}
		a := members[n].holder.EffectiveConfig(2500 * ms)
		if !a.IsLeased || a.LatestRevision != 2 || !slices.Equal(a.EjectedEndpoints, []string{"h"}) ||
			a.BudgetShare <= 0 {
			t.Errorf("b%d comes to no lease on revision 2 with the recorded members", n)
		}
		if members[n].replica.IsLeader() {
			leaders++
		}
	}
	if leaders != 1 {
		t.Errorf("%d lead", leaders)
	}
}

// A replica that cannot read the log that its earlier build wrote has lost its vote; one that reads it otherwise
// begins a second history.
func TestOpensRecordedReplicaLog(t *testing.T) {
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
	r, err := NewReplica(0, "b0", 99, testTiming, []string{"b0", "b1", "b2"}, records, log, discardSender{},
		func(int) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	revisions, minRevision := r.History()
	shown := fmt.Sprintf("records=%d life=%d founded=%t floor=%d applied=%d hard=%x voters=%x candidates=%x history=%x\n",
		len(records), r.incarnation, r.IsBootstrapped(), minRevision,
		r.log.applied, marshalProto(r.log.hardState), encode(r.state.Voters), encode(r.state.Unaccepted), encode(revisions))
	hasSnapshot := slices.ContainsFunc(records, func(bytes []byte) bool {
		var r record
		return strictDecoding.Unmarshal(bytes, &r) == nil && r.Snapshot != nil
	})
	if !hasSnapshot || len(records) < 4 {
		t.Error("the recorded log has no snapshot with records after it")
	}
	r.Tick(ms)
	revisions, minRevision = r.History()
	shown += fmt.Sprintf("committed: floor=%d applied=%d history=%x\n", minRevision, r.log.applied, encode(revisions))
	checkGolden(t, "replica.golden", []byte(shown))
}

// writeLog writes the log of a replica that put a snapshot in the place of its oldest records and went on.
func writeLog(t *testing.T, path string) {
	sim := newSimulation(t, 11, 3, 0, true)
	run := func(span time.Duration) {
		for end := sim.now + int64(span); sim.now < end; {
			sim.advance()
		}
	}
	change := func(c Proposal) {
		sim.propose(0, slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() }), c)
		run(4 * time.Second)
	}
	run(10 * time.Second)
	digest := "d1"
	change(Proposal{Author: "op", Reason: "w", EjectEndpoints: []string{"h1", "h2"},
		Limits: map[string]int64{"held": 7}})
	change(Proposal{Author: "op", EvacuateZones: []string{"z1"}, SettingsDigest: &digest})
	leads := slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() })
	lost := 1 + leads%2 // b0 stays; a new incarnation takes the place of one that lost its state.
	sim.processes[lost].disk = nil
	sim.startProcess(lost, true, 3)
	run(15 * time.Second)
	change(Proposal{Author: "op", UnejectEndpoints: []string{"h1"}, EjectEndpoints: []string{"h3"}})
	aside := filepath.Join(t.TempDir(), "replica.log")
	log, _, err := store.Open(aside)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	records := sim.processes[0].disk.records
	if err := log.Replace(records[:2]); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(records[2:]); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(aside)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}
