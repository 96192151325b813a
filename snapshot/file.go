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

// ErrLocked reports that another process is writing the file. For a snapshot this is not a fault: the other process's
// snapshot serves as well.
var ErrLocked = errors.New("another process is writing the file")

// Errors for files that other users put in the directory, which may be world-writable.
var (
	errNotRegular = errors.New("not a regular file")
	errWrongOwner = errors.New("file is owned by another user")
)

// File is a file that holds one snapshot. Its methods must not be called concurrently, but any number of processes may
// use the same path.
type File struct {
	Path string

	buffer []byte // reused by each Write
}

// Write replaces the file's content with a snapshot and returns its size in bytes. A process that dies during the write
// leaves the old snapshot intact.
func (f *File) Write(s *Snapshot) (size int, err error) {
	if f.buffer, err = snapshotFormat.encode(f.buffer[:0], s); err != nil {
		return 0, fmt.Errorf("encode snapshot: %w", err)
	}
	return len(f.buffer), replaceFile(f.Path, f.buffer)
}

// replaceFile replaces a file's content. It writes PATH.new and renames it, so that a process that dies during the
// write leaves the old content intact. It does not sync: what the files hold is of use to a process that starts while
// the machine stays up.
func replaceFile(path string, content []byte) error {
	replacement, err := openLocked(path + ".new")
	if err != nil {
		return err
	}
	defer replacement.Close()
	if err := replacement.Truncate(0); err != nil {
		return fmt.Errorf("truncate new file: %w", err)
	}
	if _, err := replacement.Write(content); err != nil {
		// Frees the space of the incomplete file, as the disk may be full.
		return fmt.Errorf("write new file: %w", errors.Join(err, replacement.Truncate(0)))
	}
	if err := os.Rename(replacement.Name(), path); err != nil {
		return fmt.Errorf("rename new file over old file: %w", err)
	}
	return nil
}

// openLocked opens or creates a file for writing and locks it until it is closed. It returns ErrLocked if another
// process holds the lock.
func openLocked(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|unix.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open new file: %w", err)
	}
	if err := lock(file); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// lock locks a file without blocking, and checks that it belongs to this user and has not been renamed since it was
// opened.
func lock(file *os.File) error {
	if err := checkOwnership(file); err != nil {
		return fmt.Errorf("new file %s: %w", file.Name(), err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return ErrLocked
	}
	// Another writer may have renamed the file between open and lock. The open file would then be the current one, which
	// must not be truncated.
	opened, err := file.Stat()
	if err != nil {
		return fmt.Errorf("new file: %w", err)
	}
	if named, err := os.Lstat(file.Name()); err != nil || !os.SameFile(opened, named) {
		return ErrLocked
	}
	return nil
}

// checkOwnership returns an error unless the file is a regular file owned by this user. Reading another user's file
// would let that user influence this process, and what is written could end up in a file of that user. Symbolic links
// are refused when the file is opened.
func checkOwnership(file *os.File) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if !info.Mode().IsRegular() {
		return errNotRegular
	}
	if status, ok := info.Sys().(*syscall.Stat_t); !ok || status.Uid != uint32(os.Geteuid()) {
		return errWrongOwner
	}
	return nil
}

// Read returns the snapshot in the file, with its Age set, if it was written by this balancer under the same settings
// and is no older than maxAge. If the file does not exist it returns nil and no error. ErrInvalid and ErrNotApplicable
// report a snapshot that is refused; other errors come from the file system or a file that is not regular or not this
// user's.
func (f *File) Read(balancerName string, settingsFingerprint uint64, now time.Time, maxAge time.Duration) (*Snapshot, error) {
	content, err := readFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", f.Path, err)
	}
	s, err := decodeSnapshot(content)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", f.Path, err)
	}
	s.Age = age(now, s.WrittenAt, s.BootID, s.SinceBoot)
	if err := s.checkApplies(balancerName, settingsFingerprint, maxAge); err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", f.Path, err)
	}
	s.Age = max(0, s.Age)
	return s, nil
}

// readFile returns a file's content, limited to one byte more than maxFileSize. A pipe in its place does not block the
// open, and is refused.
func readFile(path string) ([]byte, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|unix.O_NOFOLLOW|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := checkOwnership(file); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(file, maxFileSize+1))
}
