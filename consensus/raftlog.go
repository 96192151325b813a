package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Storage is where a replica's records go, in order. What Append was given is there after any crash once it has
// returned without an error; Replace puts records in the place of all that were there, or changes nothing. A replica
// whose storage returns an error stops.
type Storage interface {
	Append(records [][]byte) error
	Replace(records [][]byte) error
}

const (
	// maxLogEntries and maxLogBytes are how much of the log is kept before a snapshot takes its place: they bound the
	// time of a start and the file, and keep the cost of a snapshot away from most proposals.
	maxLogEntries = 512
	maxLogBytes   = 4 << 20
)

// errInvalidRecord and errInvalidSnapshot say that a record, or what a peer sent, is not what a replica writes.
var (
	errInvalidRecord   = errors.New("not a record of a replica")
	errInvalidSnapshot = errors.New("not a snapshot of the replicated state")
)

// record is what a replica stores. One field is there; the first record of a log has the incarnation.
type record struct {
	Incarnation uint64 `cbor:"1,keyasint,omitempty"`
	HardState   []byte `cbor:"2,keyasint,omitempty"` // protobuf, as Entry and Snapshot
	Entry       []byte `cbor:"3,keyasint,omitempty"`
	Snapshot    []byte `cbor:"4,keyasint,omitempty"`
}

// raftLog is raft's log in memory and the records that make it last.
type raftLog struct {
	storage   Storage
	entries   *raft.MemoryStorage
	confState *pb.ConfState // the voters, by incarnation
	hardState *pb.HardState // term, vote and commit index as they were written last
	applied   uint64        // index of the last entry that the state has

	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

func newRaftLog(storage Storage) raftLog {
	return raftLog{storage: storage, entries: raft.NewMemoryStorage(), hardState: &pb.HardState{}, confState: &pb.ConfState{}}
}

// load takes up the records that a storage has, and tells whether there was more than an incarnation. The state is
// that of the snapshot; raft hands out the committed entries after it once more.
func (r *Replica) load(records [][]byte) (hasState bool, err error) {
	for n, bytes := range records {
		var rec record
		if err := strictDecoding.Unmarshal(bytes, &rec); err != nil || n == 0 && rec.Incarnation == 0 {
			return false, fmt.Errorf("replica log, record %d: %w", n, errInvalidRecord)
		}
		if n == 0 {
			r.incarnation = rec.Incarnation
			continue
		}
		isState, err := r.loadRecord(&rec)
		if err != nil {
			return false, fmt.Errorf("replica log, record %d: %w", n, err)
		}
		hasState = hasState || isState
	}
	if hasState {
		r.log.setHardState(r.log.hardState)
	}
	return hasState, nil
}

// loadRecord takes up a record after the first.
func (r *Replica) loadRecord(rec *record) (isState bool, err error) {
	switch {
	case rec.HardState != nil:
		hard := &pb.HardState{}
		if err := proto.Unmarshal(rec.HardState, hard); err != nil {
			return false, fmt.Errorf("hard state: %w", err)
		}
		r.log.hardState = hard
	case rec.Entry != nil:
		e := &pb.Entry{}
		if err := proto.Unmarshal(rec.Entry, e); err != nil {
			return false, fmt.Errorf("entry: %w", err)
		}
		if err := r.log.entries.Append([]*pb.Entry{e}); err != nil {
			return false, fmt.Errorf("entry: %w", err)
		}
		r.log.entriesSinceSnapshot++
	case rec.Snapshot != nil:
		snapshot := &pb.Snapshot{}
		if err := proto.Unmarshal(rec.Snapshot, snapshot); err != nil {
			return false, fmt.Errorf("snapshot: %w", err)
		}
		if err := r.restore(snapshot); err != nil {
			return false, err
		}
	default:
		return false, nil
	}
	return true, nil
}

// restore takes a snapshot, stored or sent by the leader, as what the state is.
func (r *Replica) restore(snapshot *pb.Snapshot) error {
	state, err := unmarshalState(snapshot.GetData())
	if err != nil || !state.isConsistent() {
		return errInvalidSnapshot
	}
	if err := r.log.entries.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return fmt.Errorf("apply snapshot: %w", err)
	}
	r.state = state
	r.log.applied, r.log.confState = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetConfState()
	r.log.entriesSinceSnapshot = 0
	r.peers.addVoters(r.state.Voters)
	return nil
}

// writeIncarnation writes the first record of a log.
func (l *raftLog) writeIncarnation(incarnation uint64) error {
	return l.storage.Append([][]byte{encode(record{Incarnation: incarnation})})
}

// writeBootstrap writes the snapshot with which a history begins.
func (l *raftLog) writeBootstrap(snapshot *pb.Snapshot, hard *pb.HardState) error {
	l.hardState = hard
	return l.storage.Append([][]byte{
		encode(record{Snapshot: marshalProto(snapshot)}),
		encode(record{HardState: marshalProto(hard)}),
	})
}

// write makes what raft has ready last: a snapshot, entries, and the hard state with the vote.
func (l *raftLog) write(ready *raft.Ready) error {
	var records [][]byte
	if !raft.IsEmptySnap(ready.Snapshot) {
		records = append(records, encode(record{Snapshot: marshalProto(ready.Snapshot)}))
	}
	for _, e := range ready.Entries {
		records = append(records, encode(record{Entry: marshalProto(e)}))
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		records = append(records, encode(record{HardState: marshalProto(ready.HardState)}))
		l.hardState = ready.HardState
	}
	if len(records) == 0 {
		return nil
	}
	return l.storage.Append(records)
}

// append takes up entries and the hard state that were written.
func (l *raftLog) append(ready *raft.Ready) error {
	if err := l.entries.Append(ready.Entries); err != nil {
		return fmt.Errorf("append to raft log: %w", err)
	}
	l.entriesSinceSnapshot += len(ready.Entries)
	for _, e := range ready.Entries {
		l.bytesSinceSnapshot += len(e.GetData())
	}
	if ready.HardState != nil {
		l.setHardState(l.hardState)
	}
	return nil
}

func (l *raftLog) setHardState(hard *pb.HardState) {
	l.hardState = hard
	_ = l.entries.SetHardState(hard) // In memory: it returns no error.
}

// forceCompaction has the next compactLog write a snapshot, however short the log is.
func (l *raftLog) forceCompaction() { l.entriesSinceSnapshot = maxLogEntries }

func (l *raftLog) needsCompaction() bool {
	return l.entriesSinceSnapshot >= maxLogEntries || l.bytesSinceSnapshot >= maxLogBytes
}

// compactLog puts a snapshot of the state in the place of a long log, in memory and in storage.
func (r *Replica) compactLog() error {
	l := &r.log
	if !l.needsCompaction() || l.applied == 0 {
		return nil
	}
	l.entriesSinceSnapshot, l.bytesSinceSnapshot = 0, 0
	snapshot, err := l.entries.CreateSnapshot(l.applied, l.confState, r.state.marshal())
	if err != nil {
		return nil // There is one of this index already.
	}
	_ = l.entries.Compact(l.applied) // It fails only where the log is that short already.
	records := [][]byte{encode(record{Incarnation: r.incarnation}), encode(record{Snapshot: marshalProto(snapshot)})}
	last, _ := l.entries.LastIndex()
	if rest, err := l.entries.Entries(l.applied+1, last+1, maxLogReadBytes); err == nil {
		for _, e := range rest {
			records = append(records, encode(record{Entry: marshalProto(e)}))
		}
	}
	if err := l.storage.Replace(append(records, encode(record{HardState: marshalProto(l.hardState)}))); err != nil {
		return fmt.Errorf("compact replica log: %w", err)
	}
	return nil
}

// maxLogReadBytes, in bytes, is no bound: all entries after a snapshot are read at once.
const maxLogReadBytes = 1 << 30

// marshalProto is raft's own encoding, the same for the same content.
func marshalProto(m proto.Message) []byte {
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // Only raft's own messages are packed, and these have no required field that could be missing.
	}
	return bytes
}

// discardLogger drops raft's log lines: what matters shows in the replica's own figures. Raft calls Fatal and Panic
// where it finds its own state impossible; that stays a panic, and HandleMessage recovers from those that a peer can
// cause.
type discardLogger struct{}

// Debug drops a line.
func (discardLogger) Debug(...any) {}

// Debugf drops a line.
func (discardLogger) Debugf(string, ...any) {}

// Error drops a line.
func (discardLogger) Error(...any) {}

// Errorf drops a line.
func (discardLogger) Errorf(string, ...any) {}

// Info drops a line.
func (discardLogger) Info(...any) {}

// Infof drops a line.
func (discardLogger) Infof(string, ...any) {}

// Warning drops a line.
func (discardLogger) Warning(...any) {}

// Warningf drops a line.
func (discardLogger) Warningf(string, ...any) {}

// Fatal panics.
func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
