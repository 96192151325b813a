package siblings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/monotime"
)

const (
	maxSiblings = 8                      // processes of one balancer at a time
	rowLen      = 512                    // bytes of a row, filled up
	fadeFor     = 300 * time.Millisecond // trips of late: clients move over that quickly
)

// sinceBase is added to the machine's clock, so that a process counts as younger than one of a version that still tells Unix time.
const sinceBase = int64(1) << 62

// Group is a process among those of its balancer.
type Group struct {
	total Resources
	place string
	file  *os.File // its own, locked for life: the kernel gives the lock back however the process ends
	slot  int
	turn  *os.File // whose lock is whose turn it is to raise a claim

	mu     sync.Mutex
	own    Row
	others []Row
	handed int
	ticked time.Time
}

// Join takes a place among the processes that share a folder. total is what all may take together.
func Join(place string, total Resources) (*Group, error) {
	k := &Group{total: total, place: place, own: Row{Pid: os.Getpid(), Since: sinceBase + monotime.Now(), Phase: Starting}}
	var err error
	if k.turn, err = os.OpenFile(filepath.Join(place, "hollylever.kin.turn"), os.O_CREATE|os.O_RDWR|unix.O_NOFOLLOW, 0o600); err != nil {
		return nil, err
	}
	for k.slot = range maxSiblings {
		at, err := os.OpenFile(k.path(k.slot), os.O_CREATE|os.O_RDWR|unix.O_NOFOLLOW, 0o600)
		if err != nil {
			k.turn.Close()
			return nil, err
		}
		if unix.Flock(int(at.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			at.Close()
			continue
		}
		k.file = at
		return k, k.write()
	}
	k.turn.Close()
	return nil, fmt.Errorf("%d processes of this balancer run already", maxSiblings)
}

func (k *Group) path(slot int) string {
	return filepath.Join(k.place, fmt.Sprint("hollylever.kin.", slot))
}

func (k *Group) write() error {
	text, err := json.Marshal(k.own)
	if err != nil {
		return err
	}
	if len(text) > rowLen {
		return errors.New("a row that is too long")
	}
	_, err = k.file.WriteAt(append(text, bytes.Repeat([]byte(" "), rowLen-len(text))...), 0)
	return err
}

// look reads the others' rows. One whose lock is free has ended. One that can't be read may hold all.
func (k *Group) look() {
	k.others = k.others[:0]
	for slot := range maxSiblings {
		if slot == k.slot {
			continue
		}
		at, err := os.OpenFile(k.path(slot), os.O_RDWR|unix.O_NOFOLLOW, 0)
		if err != nil {
			continue // Nobody ever had it.
		}
		if unix.Flock(int(at.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil {
			at.Close()
			continue
		}
		text := make([]byte, rowLen)
		n, _ := at.ReadAt(text, 0)
		at.Close()
		var row Row
		switch {
		case n == 0:
			row = Row{Phase: Starting} // It has just come, and claims nothing yet.
		case json.Unmarshal(bytes.TrimSpace(text[:n]), &row) != nil || !row.sound(k.total):
			row = Row{Claim: k.total} // A torn row: what it holds can't be told, and nothing is raised beside it.
		}
		k.others = append(k.others, row)
	}
}

// Tick says what this process uses, and how many trips it has handed over in all; it tells what it may come to, its part
// of the trips, and how many others there are.
func (k *Group) Update(use Resources, handed int) (allowed Resources, part float64, others int, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own.Use = use
	now := time.Now()
	k.own.Trips = k.own.Trips*math.Exp(-float64(now.Sub(k.ticked))/float64(fadeFor)) + float64(max(0, handed-k.handed))
	k.ticked = now
	k.handed = handed
	// Guards the sum against two that raise into the same room. Nobody waits: whoever does not get its turn lowers only.
	raise := unix.Flock(int(k.turn.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
	k.look()
	k.own.Claim = Divide(k.total, k.own, k.others, raise)
	err = k.write()
	if raise {
		unix.Flock(int(k.turn.Fd()), unix.LOCK_UN)
	}
	return Allowed(k.total, k.own, k.others), Part(k.own, k.others), len(k.others), err
}

// Now is what the process is doing from now on; others see it with the next tick.
func (k *Group) SetPhase(phase Phase) {
	k.mu.Lock()
	k.own.Phase = phase
	k.mu.Unlock()
}

// Writes tells whether this process writes down what was learnt.
func (k *Group) IsSnapshotWriter() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Writes(k.own, k.others)
}

// Leave gives up the place, as an end of the process does.
func (k *Group) Leave() {
	k.file.Close()
	k.turn.Close()
}
