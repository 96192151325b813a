package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// lockTimeout is how long a change of the manual ejections may wait for the other process to release the file.
const lockTimeout = 300 * time.Millisecond

// errUnchanged is returned if the file is the same as when it was last read or written.
var errUnchanged = errors.New("not changed")

// ejectionFile is the file of manual ejections, which both processes of an upgrade read and write. With an empty path
// the ejections are held in memory only.
type ejectionFile struct {
	path      string
	mu        sync.Mutex  // guards the fields below, and the file within this process; acquired before Balancer.mu
	lastSeen  fs.FileInfo // as of the last read or write; nil: none yet
	isDamaged bool        // the last poll could not read it
}

// poll reads the file if it exists and has changed. isNew reports that names are to be applied. Of several consecutive
// failures, only the first is returned as an error.
func (f *ejectionFile) poll() (names []string, isNew bool, err error) {
	info, err := os.Stat(f.path)
	if err != nil || f.isLastSeen(info) {
		return nil, false, nil
	}
	names, err = f.read()
	wasDamaged := f.isDamaged
	f.isDamaged = err != nil
	if err != nil && wasDamaged {
		return nil, false, nil
	}
	return names, err == nil, err
}

func (f *ejectionFile) isLastSeen(info fs.FileInfo) bool {
	return f.lastSeen != nil && os.SameFile(f.lastSeen, info) && f.lastSeen.ModTime().Equal(info.ModTime()) && f.lastSeen.Size() == info.Size()
}

// lock prevents the other process from changing the file concurrently.
func (f *ejectionFile) lock() (unlock func(), err error) {
	if f.path == "" {
		return func() {}, nil
	}
	lockFile, err := os.OpenFile(f.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 100) {
		if err = syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return func() { lockFile.Close() }, nil
		}
		if time.Now().After(deadline) { // A stopped process may hold the lock.
			lockFile.Close()
			return nil, err
		}
	}
}

// readIfChanged returns the names in the file if another process has changed it, and errUnchanged otherwise, so that
// many consecutive ejections do not read the file each time.
func (f *ejectionFile) readIfChanged() ([]string, error) {
	if info, err := os.Stat(f.path); err == nil && f.isLastSeen(info) && !f.isDamaged {
		return nil, errUnchanged
	}
	return f.read()
}

// read returns the names in the file, or none if the file does not exist yet.
func (f *ejectionFile) read() ([]string, error) {
	file, err := os.Open(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer file.Close()
	if f.lastSeen, err = file.Stat(); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(file, int64(maxEjectionsFile)))
	if err != nil {
		return nil, err
	}
	var names []string
	if err := json.Unmarshal(text, &names); err != nil {
		return nil, fmt.Errorf("%s: %w", f.path, err)
	}
	if len(names) > maxEjections {
		return nil, fmt.Errorf("%s: more than %d names", f.path, maxEjections)
	}
	return names, nil
}

// write atomically replaces the names in the file. It sorts names in place.
func (f *ejectionFile) write(names []string) error {
	if f.path == "" {
		return nil
	}
	slices.Sort(names)
	text, err := json.Marshal(names)
	if err != nil {
		return err
	}
	if len(text) > maxEjectionsFile { // read would truncate a longer file.
		return fmt.Errorf("%s: more than %d bytes", f.path, maxEjectionsFile)
	}
	temporary := f.path + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return err
	}
	f.lastSeen, err = os.Stat(f.path)
	return err
}
