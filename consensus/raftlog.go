package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Storage persists a replica's records in order. Once Append has returned without an error, its records survive any
// crash. Replace either replaces all records or changes nothing. A replica whose storage returns an error stops.
type Storage interface {
	Append(records [][]byte) error
	Replace(records [][]byte) error
}

const (
	// maxLogEntries and maxLogBytes are the size of the log at which a snapshot replaces it. They bound the time that
	// a start takes and the size of the file, while most proposals do not cause the cost of a snapshot.
	maxLogEntries = 512
	maxLogBytes   = 4 << 20
)

// Errors for records in storage, and for snapshots from storage or from a peer, that no replica writes.
var (
	errInvalidRecord   = errors.New("invalid record")
	errInvalidSnapshot = errors.New("invalid snapshot of the replicated state")
)

// record is one stored record of a replica. Exactly one field is set; in the first record, it is the incarnation.
type record struct {
	Incarnation uint64 `cbor:"1,keyasint,omitempty"`
	HardState   []byte `cbor:"2,keyasint,omitempty"` // protobuf, like Entry and Snapshot
	Entry       []byte `cbor:"3,keyasint,omitempty"`
	Snapshot    []byte `cbor:"4,keyasint,omitempty"`
}

// raftLog is raft's log in memory, together with the storage that persists it.
type raftLog struct {
	storage   Storage
	entries   *raft.MemoryStorage
	confState *pb.ConfState // the voters, by incarnation
	hardState *pb.HardState // term, vote and commit index as last written
	applied   uint64        // index of the last entry applied to the state

	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

func newRaftLog(storage Storage) raftLog {
	return raftLog{
		storage:   storage,
		entries:   raft.NewMemoryStorage(),
		hardState: &pb.HardState{},
		confState: &pb.ConfState{},
	}
}

// load restores the replica from stored records and reports whether there was more than an incarnation. It restores the
// state from the snapshot; raft then returns the committed entries after it again.
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

// loadRecord loads a record other than the first.
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

// restore replaces the state with that of a snapshot, which comes from storage or from the leader.
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

// writeBootstrap writes the snapshot that starts a history.
func (l *raftLog) writeBootstrap(snapshot *pb.Snapshot, hard *pb.HardState) error {
	l.hardState = hard
	return l.storage.Append([][]byte{
		encode(record{Snapshot: marshalProto(snapshot)}),
		encode(record{HardState: marshalProto(hard)}),
	})
}

// write persists what raft has ready: a snapshot, entries, and the hard state, which includes the vote.
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

// append adds entries and the hard state, which write has persisted, to the log in memory.
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
	_ = l.entries.SetHardState(hard) // MemoryStorage returns no error here.
}

// forceCompaction makes the next compactLog write a snapshot, however short the log is.
func (l *raftLog) forceCompaction() { l.entriesSinceSnapshot = maxLogEntries }

func (l *raftLog) needsCompaction() bool {
	return l.entriesSinceSnapshot >= maxLogEntries || l.bytesSinceSnapshot >= maxLogBytes
}

// compactLog replaces a long log with a snapshot of the state, in memory and in storage.
func (r *Replica) compactLog() error {
	l := &r.log
	if !l.needsCompaction() || l.applied == 0 {
		return nil
	}
	l.entriesSinceSnapshot, l.bytesSinceSnapshot = 0, 0
	snapshot, err := l.entries.CreateSnapshot(l.applied, l.confState, r.state.marshal())
	if err != nil {
		return nil // A snapshot at this index exists already.
	}
	_ = l.entries.Compact(l.applied) // It only fails if the log has been compacted to this index already.
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

// maxLogReadBytes is so large that it does not limit the read: all entries after a snapshot are read at once.
const maxLogReadBytes = 1 << 30

// marshalProto returns the protobuf encoding of a raft message, which is the same for equal messages.
func marshalProto(m proto.Message) []byte {
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // Raft's messages have no required field that could be missing.
	}
	return bytes
}

// discardLogger discards raft's log lines: the replica's own metrics show what matters. Raft calls Fatal and Panic when
// it finds its state inconsistent. Both still panic, and HandleMessage recovers from the panics that a peer can cause.
type discardLogger struct{}

// Debug discards a line.
func (discardLogger) Debug(...any) {}

// Debugf discards a line.
func (discardLogger) Debugf(string, ...any) {}

// Error discards a line.
func (discardLogger) Error(...any) {}

// Errorf discards a line.
func (discardLogger) Errorf(string, ...any) {}

// Info discards a line.
func (discardLogger) Info(...any) {}

// Infof discards a line.
func (discardLogger) Infof(string, ...any) {}

// Warning discards a line.
func (discardLogger) Warning(...any) {}

// Warningf discards a line.
func (discardLogger) Warningf(string, ...any) {}

// Fatal panics.
func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
