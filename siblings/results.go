package siblings

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"hollylever/monotime"
)

const (
	resultFilePrefix = "hollylever.results." // followed by the slot number

	// A process's file holds resultBuckets times resultsPerBucket requests. In a full bucket a new one replaces that which
	// expires first.
	resultBuckets    = 256
	resultsPerBucket = 8
	// MaxSharedAnswer is the length in bytes up to which an answer is shared.
	MaxSharedAnswer = 456
	// claimTimeout bounds the wait for another process that claims the same request at the same time.
	claimTimeout = 5 * time.Millisecond
)

// RequestDigest is what a request is found by: its ID and what it asks for. It is never zero. Other versions compute the same.
type RequestDigest [2]uint64

// RequestIdentity is what is recorded of a request that begins.
type RequestIdentity struct {
	Digest  RequestDigest
	ID      RequestDigest // of its ID alone
	Content RequestContent
}

// RequestContent is a digest of everything that makes two requests the same one. Zero: not known, as an earlier version has
// recorded the request.
type RequestContent [2]uint64

// ClientState is what is known of the client to which the reply of a request is owed.
type ClientState uint32

// The states of a client. Processes of other versions read these values.
const (
	ClientUnknown ClientState = iota // it has left, or nothing is known of it
	ClientWaits                      // it is connected and waits for the reply
	ClientReplied                    // it has got the reply
)

// SharedResult is what processes tell one another of a request.
type SharedResult struct {
	State   ResultState
	Answer  []byte // if State is ResultAnswer
	Content RequestContent
	Client  ClientState
	// ExpiresIn is for how much longer the request is known: the retention that Begin was given, less the time since.
	ExpiresIn time.Duration
}

// ResultState is what is known of a request.
type ResultState uint32

// The states of a request. Processes of other versions read these values.
const (
	ResultNone    ResultState = iota // nothing is known: it has not run, and does not
	ResultClaimed                    // a process is about to begin it
	ResultOpen                       // a process runs it
	ResultAnswer                     // it ran, and its answer is known
	ResultUnknown                    // it may have run, and its answer is not known
)

// resultRecord is one request in a process's file. Its process writes it, and others read it: the state is stored last and
// loaded first.
type resultRecord struct {
	digest    [2]atomic.Uint64
	expiresAt atomic.Int64 // by package monotime
	state     atomic.Uint32
	length    atomic.Uint32 // of the answer, in bytes
	answer    [MaxSharedAnswer]byte
	// What follows is zero in records of earlier versions, which had a longer answer.
	content [2]atomic.Uint64
	client  atomic.Uint32
	_       uint32
}

// resultTable is the content of a process's file.
type resultTable [resultBuckets][resultsPerBucket]resultRecord

// bucket returns the records among which that of a request is.
func (t *resultTable) bucket(digest RequestDigest) *[resultsPerBucket]resultRecord {
	return &t[digest[0]%resultBuckets]
}

// Results shares among the processes of a balancer which requests with effects have been begun, and with what result, so that
// a request that comes again under the same ID at another process does not run twice. The files outlive their processes.
// Begin and Find are not safe for concurrent use.
type Results struct {
	openedAt       time.Time
	openedAtUptime int64 // the same, by package monotime
	group          *Group
	own            *resultTable
	others         [MaxProcesses]atomic.Pointer[resultTable]
}

// ResultHandle is a request in this process's file. The zero handle is in none.
type ResultHandle struct {
	request recordHandle
	id      recordHandle // of its ID, while the request is open
}

// recordHandle is a record that was added for a digest. Once the record is used for another one, nothing has an effect on it.
type recordHandle struct {
	record *resultRecord
	digest RequestDigest
}

// isValid reports whether the record is still that of the digest.
func (h recordHandle) isValid() bool {
	return h.record != nil && h.record.digest[0].Load() == h.digest[0] && h.record.digest[1].Load() == h.digest[1]
}

func (h recordHandle) setState(state ResultState) {
	if h.isValid() {
		h.record.state.Store(uint32(state))
	}
}

// OpenResults opens this process's file, and those of other processes.
func (g *Group) OpenResults() (*Results, error) {
	table, err := mapResults(g.resultPath(g.slot), true)
	if err != nil {
		return nil, fmt.Errorf("open results of this process: %w", err)
	}
	r := &Results{openedAt: time.Now(), openedAtUptime: monotime.Now(), group: g, own: table}
	r.closeOpen()
	r.findOthers()
	g.mu.Lock()
	g.results = r
	g.mu.Unlock()
	return r, nil
}

func (g *Group) resultPath(slot int) string {
	return filepath.Join(g.directory, fmt.Sprint(resultFilePrefix, slot))
}

// mapResults maps a process's file into memory.
func mapResults(path string, isOwn bool) (*resultTable, error) {
	flags, protection := 0, unix.PROT_READ
	if isOwn {
		flags, protection = os.O_CREATE, unix.PROT_READ|unix.PROT_WRITE
	}
	file, err := openFile(path, flags)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	const size = int64(unsafe.Sizeof(resultTable{}))
	if info, err := file.Stat(); err != nil {
		return nil, err
	} else if info.Size() != size {
		if !isOwn {
			return nil, fmt.Errorf("%s has %d bytes, not %d", path, info.Size(), size)
		}
		// A write to a page for which the file system has no space would end the process.
		if err := unix.Fallocate(int(file.Fd()), 0, 0, size); err != nil {
			return nil, err
		}
	}
	content, err := unix.Mmap(int(file.Fd()), 0, int(size), protection, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	return (*resultTable)(unsafe.Pointer(&content[0])), nil
}

// closeOpen marks what an earlier process of this slot left open: its results are lost, and its clients have lost their
// connections.
func (r *Results) closeOpen() {
	for n := range r.own {
		for m := range r.own[n] {
			record := &r.own[n][m]
			if ClientState(record.client.Load()) == ClientWaits {
				record.client.Store(uint32(ClientUnknown))
			}
			switch ResultState(record.state.Load()) {
			case ResultClaimed:
				record.state.Store(uint32(ResultNone))
			case ResultOpen:
				record.state.Store(uint32(ResultUnknown))
			}
		}
	}
}

// findOthers maps the files of processes that have appeared since the last call.
func (r *Results) findOthers() {
	for slot := range r.others {
		if slot == r.group.slot || r.others[slot].Load() != nil {
			continue
		}
		if table, err := mapResults(r.group.resultPath(slot), false); err == nil { // Without a file no process has used the slot yet.
			r.others[slot].Store(table)
		}
	}
}

// now returns the time by package monotime, without a system call.
func (r *Results) now() int64 { return r.openedAtUptime + int64(time.Since(r.openedAt)) }

// Begin claims a request for this process, of which others know for the retention. Its client is taken to wait. If it was begun
// before, earlier tells what is known of it and the request must not run. Otherwise earlier.State is ResultNone; Resolve must be
// called on the handle.
func (r *Results) Begin(request RequestIdentity, retention time.Duration) (handle ResultHandle, earlier SharedResult) {
	if earlier := r.Find(request.Digest); earlier.State != ResultNone {
		return ResultHandle{}, earlier
	}
	expiresAt := r.now() + int64(retention)
	handle.request = r.add(request.Digest, request.Content, expiresAt)
	if earlier = r.resolveClaims(request.Digest); earlier.State != ResultNone {
		handle.request.setState(ResultNone)
		return ResultHandle{}, earlier
	}
	handle.request.setState(ResultOpen)
	handle.id = r.add(request.ID, request.Content, expiresAt)
	handle.id.setState(ResultOpen)
	return handle, SharedResult{}
}

// IsIDInUse reports whether another process has an open request of an ID that is not the same request.
func (r *Results) IsIDInUse(request RequestIdentity) bool {
	slot, record := r.findOther(request.ID)
	if record == nil {
		return false
	}
	other := record.read(r.isRunning(slot), r.now())
	return other.State == ResultOpen && other.Content != request.Content
}

// add claims a record.
func (r *Results) add(digest RequestDigest, content RequestContent, expiresAt int64) recordHandle {
	bucket := r.own.bucket(digest)
	record := &bucket[0]
	for n := range bucket {
		if bucket[n].isFreeBefore(record) {
			record = &bucket[n]
		}
	}
	record.state.Store(uint32(ResultNone))
	record.digest[0].Store(digest[0])
	record.digest[1].Store(digest[1])
	record.expiresAt.Store(expiresAt)
	record.length.Store(0)
	record.content[0].Store(content[0])
	record.content[1].Store(content[1])
	record.client.Store(uint32(ClientWaits))
	record.state.Store(uint32(ResultClaimed))
	return recordHandle{record, digest}
}

// resolveClaims looks for the request at the other processes after this one has claimed it. Of two processes that claim it at
// the same time, that of the lower slot begins it.
func (r *Results) resolveClaims(digest RequestDigest) SharedResult {
	for end := time.Now().Add(claimTimeout); ; runtime.Gosched() {
		slot, record := r.findOther(digest)
		if record == nil {
			return SharedResult{}
		}
		result := record.read(r.isRunning(slot), r.now())
		if result.State != ResultClaimed || slot < r.group.slot || time.Now().After(end) {
			return result
		}
	}
}

// Find returns what is known of a request at the other processes, and of earlier ones in this process's slot.
func (r *Results) Find(digest RequestDigest) SharedResult {
	if record := r.own.find(digest, r.now()); record != nil {
		return record.read(true, r.now())
	}
	if slot, record := r.findOther(digest); record != nil {
		return record.read(r.isRunning(slot), r.now())
	}
	return SharedResult{}
}

// findOther returns a request's record in another process's file, or nil.
func (r *Results) findOther(digest RequestDigest) (slot int, record *resultRecord) {
	for slot := range r.others {
		if table := r.others[slot].Load(); table != nil {
			if record := table.find(digest, r.now()); record != nil {
				return slot, record
			}
		}
	}
	return 0, nil
}

// isRunning reports whether the process of a slot runs, as far as the last Update of the group knows.
func (r *Results) isRunning(slot int) bool { return r.group.runningSlots[slot].Load() }

// find returns the record of a request that has not expired by now, or nil.
func (t *resultTable) find(digest RequestDigest, now int64) *resultRecord {
	bucket := t.bucket(digest)
	for n := range bucket {
		record := &bucket[n]
		if record.digest[0].Load() == digest[0] && record.digest[1].Load() == digest[1] && ResultState(record.state.Load()) != ResultNone &&
			record.expiresAt.Load() > now {
			return record
		}
	}
	return nil
}

// isFreeBefore reports whether a record is to be used for another request before the other one.
func (r *resultRecord) isFreeBefore(other *resultRecord) bool {
	if isNone, isOtherNone := r.state.Load() == uint32(ResultNone), other.state.Load() == uint32(ResultNone); isNone || isOtherNone {
		return isNone && !isOtherNone
	}
	return r.expiresAt.Load() < other.expiresAt.Load()
}

// read returns what a record says at a time. What a process that has ended left open is not known, and its clients have lost their
// connections.
func (r *resultRecord) read(isRunning bool, now int64) SharedResult {
	result := SharedResult{
		State:     ResultState(r.state.Load()),
		Content:   RequestContent{r.content[0].Load(), r.content[1].Load()},
		Client:    ClientState(r.client.Load()),
		ExpiresIn: time.Duration(r.expiresAt.Load() - now),
	}
	length := int(r.length.Load())
	switch {
	case result.State == ResultAnswer && length > MaxSharedAnswer: // Recorded by an earlier version, in place of what follows the answer.
		return SharedResult{State: ResultUnknown, ExpiresIn: result.ExpiresIn}
	case result.State == ResultAnswer:
		result.Answer = append([]byte(nil), r.answer[:length]...)
	case result.State == ResultOpen && !isRunning:
		result.State = ResultUnknown
	case result.State == ResultClaimed && !isRunning:
		return SharedResult{}
	}
	if !isRunning && result.Client == ClientWaits {
		result.Client = ClientUnknown
	}
	return result
}

// Resolve records the result of a request: ResultNone if it has not run, ResultAnswer or ResultUnknown. An answer over
// MaxSharedAnswer counts as not known.
func (h ResultHandle) Resolve(state ResultState, answer []byte) {
	if !h.request.isValid() {
		return
	}
	if state == ResultAnswer && len(answer) > MaxSharedAnswer {
		state = ResultUnknown
	}
	record := h.request.record
	if state == ResultAnswer {
		record.length.Store(uint32(copy(record.answer[:], answer)))
	}
	record.state.Store(uint32(state))
	h.closeID()
}

// SetClient records what is known of the request's client.
func (h ResultHandle) SetClient(state ClientState) {
	if h.request.isValid() {
		h.request.record.client.Store(uint32(state))
		h.closeID()
	}
}

// closeID frees the record of the ID once the request has its result and nobody waits for that.
func (h ResultHandle) closeID() {
	isOpen := ResultState(h.request.record.state.Load()) == ResultOpen
	if !isOpen && ClientState(h.request.record.client.Load()) != ClientWaits {
		h.id.setState(ResultNone)
	}
}
