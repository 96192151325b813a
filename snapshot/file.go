package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrLocked says that another process is writing the file just now. Nothing is wrong: that process's snapshot is as
// good.
var ErrLocked = errors.New("another process is writing the snapshot")

// Errors of files that others put in the directory, which may be writable for all.
var (
	errNotRegular = errors.New("not a regular file")
	errOtherOwner = errors.New("file of another user")
)

// File is where snapshots are kept. Its methods must not be called concurrently; any number of processes may use the
// same path.
type File struct {
	Path string

	buffer []byte // used again by each Write
}

// Write puts a snapshot in place of what the file holds, and returns its size in bytes. It writes PATH.new and renames
// it, so that a process that dies meanwhile leaves the old snapshot. It does not sync: Read refuses a snapshot that is
// some seconds old, and a power loss outlasts that.
func (f *File) Write(s *Snapshot) (size int, err error) {
	if f.buffer, err = encode(f.buffer[:0], s); err != nil {
		return 0, fmt.Errorf("encode snapshot: %w", err)
	}
	replacement, err := openLocked(f.Path + ".new")
	if err != nil {
		return 0, err
	}
	defer replacement.Close()
	if err := replacement.Truncate(0); err != nil {
		return 0, fmt.Errorf("truncate snapshot: %w", err)
	}
	if _, err := replacement.Write(f.buffer); err != nil {
		// Half of a snapshot is of no use, and the disk may be full.
		return 0, fmt.Errorf("write snapshot: %w", errors.Join(err, replacement.Truncate(0)))
	}
	if err := os.Rename(replacement.Name(), f.Path); err != nil {
		return 0, fmt.Errorf("put new snapshot in place: %w", err)
	}
	return len(f.buffer), nil
}

// openLocked opens or creates a file for writing and locks it, until it is closed. It returns ErrLocked if another
// process has the lock.
func openLocked(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|unix.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open new snapshot: %w", err)
	}
	if err := lock(file); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// lock takes the lock of a file, if it is this user's and still has its name.
func lock(file *os.File) error {
	if err := checkOwned(file); err != nil {
		return fmt.Errorf("new snapshot %s: %w", file.Name(), err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return ErrLocked
	}
	// Guards against a writer that renamed the file between the open and the lock: what is open here would be the
	// snapshot itself, and truncating it would leave none.
	opened, err := file.Stat()
	if err != nil {
		return fmt.Errorf("new snapshot: %w", err)
	}
	if named, err := os.Lstat(file.Name()); err != nil || !os.SameFile(opened, named) {
		return ErrLocked
	}
	return nil
}

// checkOwned guards against files that another user put there: what is read would steer this process, and what is
// written might go into a file of theirs. Links are refused when the file is opened.
func checkOwned(file *os.File) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if !info.Mode().IsRegular() {
		return errNotRegular
	}
	if status, ok := info.Sys().(*syscall.Stat_t); !ok || status.Uid != uint32(os.Geteuid()) {
		return errOtherOwner
	}
	return nil
}

// Read returns the snapshot in the file if it is of this balancer, under these settings, and no older than maxAge; its
// Age is then set. Without a file it returns nil and no error. ErrInvalid and ErrNotApplicable tell of a snapshot that
// is refused; other errors come from the file system.
func (f *File) Read(balancerName string, settingsFingerprint uint64, now time.Time, maxAge time.Duration) (*Snapshot, error) {
	content, err := f.readOwned()
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", f.Path, err)
	}
	s, err := decode(content)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", f.Path, err)
	}
	s.Age = s.age(now)
	if err := s.checkApplies(balancerName, settingsFingerprint, maxAge); err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", f.Path, err)
	}
	s.Age = max(0, s.Age)
	return s, nil
}

// readOwned returns what the file holds, but no more than one byte over maxFileSize. A pipe in its place does not block
// the open, and is refused.
func (f *File) readOwned() ([]byte, error) {
	file, err := os.OpenFile(f.Path, os.O_RDONLY|unix.O_NOFOLLOW|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := checkOwned(file); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(file, maxFileSize+1))
}
