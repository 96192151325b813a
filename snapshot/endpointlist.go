package snapshot

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// EndpointList is the endpoint list of one process, as discovery last told it. The tags fix its keys in the file, as
// the process that reads it may be of another version.
type EndpointList struct {
	DiscoveryServer string `cbor:"Discovery"` // address of the discovery server that assigned Index

	// Generation orders lists of one discovery server before Index does: it is increased when the server's index goes
	// back, as that of a server which was rebuilt, so that the lists from before do not count as newer. It is 1 or more.
	Generation uint64 `cbor:"Generation"`
	Index      uint64 `cbor:"Index"` // revision of the list

	// ConfiguredDigest identifies the list in the configuration of the process that wrote this one.
	ConfiguredDigest uint64 `cbor:"Configured"`

	// The time at which discovery last delivered anything to the process, so that the list held, by two clocks: see age.
	ToldAt    int64  `cbor:"At"`     // wall clock, Unix nanoseconds
	BootID    string `cbor:"Boot"`   // ID of the machine's boot; "" if unknown
	SinceBoot int64  `cbor:"BootAt"` // nanoseconds since that boot

	// Endpoints is the list in the JSON format of the discovery server. Besides the endpoints that are ready or drain it
	// has, as gone, those that drained before they were removed.
	Endpoints []byte `cbor:"List"`

	Age time.Duration `cbor:"-"` // age at the time of reading; set by ReadChanged, ignored by Write
}

// IsNewerThan reports whether a list is newer than another one of the same discovery server.
func (l *EndpointList) IsNewerThan(other *EndpointList) bool {
	if l.Generation != other.Generation {
		return l.Generation > other.Generation
	}
	return l.Index > other.Index
}

// EndpointListFiles are the files in which the processes of one balancer save their endpoint lists, for each other and
// for the processes that come after. Each process has a file of its own, so that none waits for another, and none can
// write an older list over a newer one. The methods must not be called concurrently.
type EndpointListFiles struct {
	files []listFile
	own   int  // index of this process's file
	isOwn bool // the own file has been read; from then on only this process writes it

	buffer []byte // reused by each Write
}

// listFile is one of the files, and its state when it was last read.
type listFile struct {
	path     string
	lastSeen fs.FileInfo // nil: it has not been seen
}

// NewEndpointListFiles returns the files PREFIX.0, PREFIX.1 and so on, for as many processes as there can be. own is the
// number of this process's file.
func NewEndpointListFiles(prefix string, processes, own int) *EndpointListFiles {
	f := &EndpointListFiles{files: make([]listFile, processes), own: own}
	for i := range f.files {
		f.files[i].path = fmt.Sprint(prefix, ".", i)
	}
	return f
}

// Write replaces the list in this process's file. A process that dies during the write leaves the old list intact.
func (f *EndpointListFiles) Write(l *EndpointList) (err error) {
	if f.buffer, err = listFormat.encode(f.buffer[:0], l); err != nil {
		return fmt.Errorf("encode endpoint list: %w", err)
	}
	return replaceFile(f.files[f.own].path, f.buffer)
}

// ReadChanged returns the lists in the files that have changed since the last call; at the first call, of all files, and
// afterwards of the other processes' files. A file that can't be read, is damaged or is not a regular one of this user
// is left out, with an error for each, until it changes again.
func (f *EndpointListFiles) ReadChanged(now time.Time) (lists []*EndpointList, err error) {
	for i := range f.files {
		if i == f.own && f.isOwn {
			continue
		}
		list, readErr := f.files[i].readIfChanged(now)
		if readErr != nil {
			err = errors.Join(err, fmt.Errorf("read endpoint list %s: %w", f.files[i].path, readErr))
		}
		if list != nil {
			lists = append(lists, list)
		}
	}
	f.isOwn = true
	return lists, err
}

// readIfChanged returns the list in the file, or nil if the file does not exist or has not changed since the last call.
func (f *listFile) readIfChanged(now time.Time) (*EndpointList, error) {
	info, err := os.Lstat(f.path)
	if err != nil || f.isLastSeen(info) { // A file that is not there is not a fault.
		return nil, nil
	}
	f.lastSeen = info
	content, err := readFile(f.path)
	if err != nil {
		return nil, err
	}
	list := &EndpointList{}
	if err := listFormat.decode(content, list); err != nil {
		return nil, err
	}
	if list.Generation == 0 {
		return nil, fmt.Errorf("%w: generation 0", ErrInvalid)
	}
	list.Age = max(0, age(now, list.ToldAt, list.BootID, list.SinceBoot))
	return list, nil
}

func (f *listFile) isLastSeen(info fs.FileInfo) bool {
	return f.lastSeen != nil && os.SameFile(f.lastSeen, info) && f.lastSeen.ModTime().Equal(info.ModTime()) && f.lastSeen.Size() == info.Size()
}
