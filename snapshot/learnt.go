// Package learnt keeps what a balancer learnt in one bounded file, so that the process that comes after it starts as if it had
// been there. routing fills and reads a Snapshot; this package writes one whole or not at all, and gives back only what was
// written whole, lately, by this balancer, under the settings as they are. Whatever else stands there is refused with a
// reason, and the start is as without a file.
//
// The file: a head of 20 bytes (magic, version, length and CRC-32C of the body), then the body in CBOR.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"hollylever/monotime"
	"hollylever/policy"
)

const (
	magic   = "hlvlerns"
	version = 2
	headLen = len(magic) + 3*4
	// Most is how many bytes a file may have: the most hosts and keys that there can be take less.
	Most = 8 << 20
)

// Snapshot is what one process leaves for the next.
type Snapshot struct {
	BalancerName        string       `cbor:"Name"`      // of the balancer
	SettingsFingerprint uint64       `cbor:"Settings"`  // a fingerprint: indices of workloads, tenants and kinds mean the same
	WrittenAt           int64        `cbor:"At"`        // the system's time, Unix nanoseconds
	BootID              string       `cbor:"Boot"`      // this start of the machine, "" if unknown,
	SinceBoot           int64        `cbor:"BootAt"`    // and the time since: it tells the age under the same start, whatever steps the system's time takes
	DiscoveryServer     string       `cbor:"Discovery"` // whose count Index is
	ListIndex           uint64       `cbor:"Index"`
	EndpointList        []byte       `cbor:"List"` // as it was last told, in discovery's form
	BalancerState       policy.State `cbor:"State"`

	Age time.Duration `cbor:"-"` // how long ago, once read
}

// File is where snapshots are kept. One process writes it at a time; whoever comes second passes over its turn.
type File struct {
	Path string
	body []byte // room that is used again
}

var (
	table    = crc32.MakeTable(crc32.Castagnoli)
	packing  = must(cbor.EncOptions{}.EncMode())
	unpacker = must(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

// ErrTaken says that another process is writing the file.
var ErrLocked = errors.New("another process is writing it")

// Write puts a snapshot in place of what the file holds, at one stroke; a process that dies meanwhile leaves the old one.
func (f *File) Write(s *Snapshot) (size int, err error) {
	packed, err := packing.Marshal(s)
	if err != nil {
		return 0, err
	}
	if len(packed)+headLen > Most {
		return 0, fmt.Errorf("%d bytes are over the %d that it may have", len(packed), Most)
	}
	f.body = append(f.body[:0], magic...)
	f.body = binary.LittleEndian.AppendUint32(f.body, version)
	f.body = binary.LittleEndian.AppendUint32(f.body, uint32(len(packed)))
	f.body = binary.LittleEndian.AppendUint32(f.body, crc32.Checksum(packed, table))
	f.body = append(f.body, packed...)

	aside := f.Path + ".new"
	at, err := os.OpenFile(aside, os.O_CREATE|os.O_WRONLY|unix.O_NOFOLLOW, 0o600)
	if err != nil {
		return 0, err
	}
	defer at.Close()
	if err := own(at); err != nil {
		return 0, err
	}
	if err := unix.Flock(int(at.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return 0, ErrLocked
	}
	mine, err := at.Stat()
	if err != nil {
		return 0, err
	}
	if still, err := os.Lstat(aside); err != nil || !os.SameFile(mine, still) {
		return 0, ErrLocked // Another has put it in place meanwhile: what we hold is the file itself.
	}
	if err := at.Truncate(0); err != nil {
		return 0, err
	}
	if _, err := at.Write(f.body); err != nil {
		at.Truncate(0) // What takes room for nothing.
		return 0, err
	}
	return len(f.body), os.Rename(aside, f.Path)
}

// own guards against files that others put there.
func own(at *os.File) error {
	what, err := at.Stat()
	if err != nil {
		return err
	}
	if !what.Mode().IsRegular() {
		return errors.New("not a regular file")
	}
	if of, is := what.Sys().(*syscall.Stat_t); !is || of.Uid != uint32(os.Geteuid()) {
		return errors.New("another user's file")
	}
	return nil
}

// Read gives the snapshot in the file, if it is good for this balancer now, and not older than it lasts; none and no error where there is no file.
func (f *File) Read(name string, settings uint64, now time.Time, lasts time.Duration) (*Snapshot, error) {
	at, err := os.OpenFile(f.Path, os.O_RDONLY|unix.O_NOFOLLOW|unix.O_NONBLOCK, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer at.Close()
	if err := own(at); err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	text, err := io.ReadAll(io.LimitReader(at, Most+1))
	if err != nil {
		return nil, err
	}
	s, err := unpack(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	s.Age = time.Duration(now.UnixNano() - s.WrittenAt)
	if s.BootID != "" && s.BootID == monotime.BootID() {
		s.Age = time.Duration(monotime.Now() - s.SinceBoot)
	}
	switch {
	case s.BalancerName != name:
		return nil, fmt.Errorf("%s: of another balancer, %q", f.Path, s.BalancerName)
	case s.SettingsFingerprint != settings:
		return nil, fmt.Errorf("%s: of other settings", f.Path)
	case s.Age > lasts || s.Age < -lasts: // A step of the clock back by more leaves nothing to go by.
		return nil, fmt.Errorf("%s: written %v ago", f.Path, s.Age.Round(time.Millisecond))
	}
	s.Age = max(0, s.Age)
	return s, nil
}

// unpack takes what a file holds apart; nothing of the body is looked at before its sum is right.
func unpack(text []byte) (*Snapshot, error) {
	if len(text) < headLen || string(text[:len(magic)]) != magic {
		return nil, errors.New("not a snapshot, or cut off")
	}
	head, body := text[len(magic):headLen], text[headLen:]
	if v := binary.LittleEndian.Uint32(head); v != version {
		return nil, fmt.Errorf("of version %d, not %d", v, version)
	}
	if n := binary.LittleEndian.Uint32(head[4:]); len(text) > Most || int(n) != len(body) {
		return nil, fmt.Errorf("%d bytes of %d", len(body), n)
	}
	if crc32.Checksum(body, table) != binary.LittleEndian.Uint32(head[8:]) {
		return nil, errors.New("damaged: its sum is wrong")
	}
	s := &Snapshot{}
	if err := unpacker.Unmarshal(body, s); err != nil {
		return nil, err
	}
	return s, s.BalancerState.Check()
}
