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

// recordedMessage is one message of a recorded session. At is the time of its arrival.
type recordedMessage struct {
	At    int64  `cbor:"1,keyasint"`
	From  int    `cbor:"2,keyasint"`
	To    int    `cbor:"3,keyasint"`
	Bytes []byte `cbor:"4,keyasint"`
}

// sessionMember is one process of a session, which records the messages that it sends. Each member has its own random
// source, so that its draws do not depend on the other members.
type sessionMember struct {
	n       int
	replica *Replica
	holder  *LeaseHolder
	disk    memoryStorage
	sent    []recordedMessage
	now     int64
}

func (m *sessionMember) Send(to string, msg *Message) {
	receiver := int(to[1] - '0') // The names are b0 to b2.
	m.sent = append(m.sent, recordedMessage{m.now + ms, m.n, receiver, msg.Marshal()})
}

// runSession runs the live members of a fleet of three replicas for 2.5 seconds. The messages of the other members come
// from a recording. At 1.5 seconds b1, if live, proposes to eject the endpoint h. It returns all messages that the live
// members sent, and these members.
func runSession(t *testing.T, live []int, recorded []recordedMessage) (sent []recordedMessage,
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
	queue := slices.DeleteFunc(slices.Clone(recorded), func(message recordedMessage) bool {
		return slices.Contains(live, message.From)
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
			sent, queue, m.sent = append(sent, m.sent...), append(queue, m.sent...), nil
		}
		// Members receive the messages of one millisecond in the same order whichever members are live.
		slices.SortStableFunc(queue, func(a, b recordedMessage) int { return a.From - b.From })
	}
	return sent, members
}

// Guards against a fleet that stops agreeing while it is upgraded one process at a time. A session among members of
// this build must reproduce the recording of an earlier build exactly. Then each member of this build in turn runs among
// the recorded messages of the others. It must send what it sent in the recording and obtain a lease on the revision
// that ejects h, and exactly one of the three must lead.
func TestReplicatesWithRecordedBuild(t *testing.T) {
	session, _ := runSession(t, []int{0, 1, 2}, nil)
	checkGolden(t, "session.cbor", encode(session))
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
		sent, members := runSession(t, []int{n}, recorded)
		want := slices.DeleteFunc(slices.Clone(recorded), func(m recordedMessage) bool { return m.From != n })
		if !bytes.Equal(encode(sent), encode(want)) {
			t.Errorf("b%d sends other messages than in the recording", n)
		}
		config := members[n].holder.EffectiveConfig(2500 * ms)
		if !config.IsLeased || config.LatestRevision != 2 || !slices.Equal(config.EjectedEndpoints, []string{"h"}) ||
			config.BudgetShare <= 0 {
			t.Errorf("b%d: got %+v, want a lease on revision 2 that ejects h, with a budget share", n, config)
		}
		if members[n].replica.IsLeader() {
			leaders++
		}
	}
	if leaders != 1 {
		t.Errorf("%d members led the recorded session, want 1", leaders)
	}
}

// Guards against a build that cannot read a replica log of an earlier build, and so loses the replica's vote, or that
// reads it differently, and so starts a second history.
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
	// Some keys are earlier names of what they show: the golden file is fixed.
	summary := fmt.Sprintf("records=%d life=%d founded=%t floor=%d applied=%d hard=%x voters=%x candidates=%x history=%x\n",
		len(records), r.incarnation, r.IsBootstrapped(), minRevision,
		r.log.applied, marshalProto(r.log.hardState), encode(r.state.Voters), encode(r.state.Unaccepted),
		encode(revisions))
	hasSnapshot := slices.ContainsFunc(records, func(bytes []byte) bool {
		var rec record
		return strictDecoding.Unmarshal(bytes, &rec) == nil && rec.Snapshot != nil
	})
	if !hasSnapshot || len(records) < 4 {
		t.Errorf("recorded log of %d records has no snapshot or too few records after it", len(records))
	}
	r.Tick(ms)
	revisions, minRevision = r.History()
	summary += fmt.Sprintf("committed: floor=%d applied=%d history=%x\n", minRevision, r.log.applied, encode(revisions))
	checkGolden(t, "replica.golden", []byte(summary))
}

// writeLog writes the log of a replica that replaced its oldest records with a snapshot and then appended more.
func writeLog(t *testing.T, path string) {
	sim := newSimulation(t, 11, 3, 0, true)
	run := func(span time.Duration) {
		for end := sim.now + int64(span); sim.now < end; {
			sim.advance()
		}
	}
	leaderIndex := func() int {
		return slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() })
	}
	propose := func(proposal Proposal) {
		sim.propose(0, leaderIndex(), proposal)
		run(4 * time.Second)
	}
	run(10 * time.Second)
	digest := "d1"
	propose(Proposal{Author: "op", Reason: "w", EjectEndpoints: []string{"h1", "h2"},
		Limits: map[string]int64{"held": 7}})
	propose(Proposal{Author: "op", EvacuateZones: []string{"z1"}, SettingsDigest: &digest})
	lost := 1 + leaderIndex()%2 // A replica other than b0 and the leader loses its state; a new incarnation replaces it.
	sim.processes[lost].storage = nil
	sim.startProcess(lost, true, 3)
	run(15 * time.Second)
	propose(Proposal{Author: "op", UnejectEndpoints: []string{"h1"}, EjectEndpoints: []string{"h3"}})
	tempPath := filepath.Join(t.TempDir(), "replica.log")
	log, _, err := store.Open(tempPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	records := sim.processes[0].storage.records
	if err := log.Replace(records[:2]); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(records[2:]); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(tempPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}
