package routing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"hollylever/policy"
	"hollylever/transport"
)

const (
	lookEvery = 50 * time.Millisecond  // at the file, for what the other process of an upgrade wrote
	lockFor   = 300 * time.Millisecond // a call may wait for the other one's
)

// ErrNeverListed says that no list ever had this server.
var ErrNeverListed = errors.New("never listed")

// bans are the servers out by hand, in a file that both processes of an upgrade follow; no file: in memory alone.
type bans struct {
	file    string
	mu      sync.Mutex // around the file, within this process
	seen    fs.FileInfo
	damaged bool
}

// Ban takes a server out, or ends that. What it did lasts once it has returned.
func (b *Balancer) Ban(name string, out bool) error {
	b.mu.Lock()
	_, there := b.byName[name]
	listed := there || b.once[name] || b.byHand[name]
	b.mu.Unlock()
	if !listed {
		return ErrNeverListed
	}
	b.bans.mu.Lock()
	defer b.bans.mu.Unlock()
	unlock, err := b.bans.lock()
	if err != nil {
		return err
	}
	defer unlock()
	now, err := b.bans.fresh()
	if err != nil || b.bans.file == "" { // Nothing new; a damaged file is made good by what is in force.
		b.mu.Lock()
		now = slices.Collect(maps.Keys(b.byHand))
		b.mu.Unlock()
	}
	now = slices.DeleteFunc(now, func(other string) bool { return other == name })
	if out {
		now = append(now, name)
	}
	if len(now) > maxBans {
		return fmt.Errorf("%d servers are out by hand already", maxBans)
	}
	if err := b.bans.write(now); err != nil {
		return err
	}
	b.lay(now)
	return nil
}

// FollowBans takes what another process wrote, and closes connections to servers that are out as they become idle.
func (b *Balancer) FollowBans(ctx context.Context) {
	for tick := time.NewTicker(lookEvery); ctx.Err() == nil; <-tick.C {
		b.lookAtBans()
	}
}

func (b *Balancer) lookAtBans() {
	b.bans.mu.Lock()
	if stamp, err := os.Stat(b.bans.file); err == nil && !b.bans.knows(stamp) {
		now, err := b.bans.read()
		if err == nil {
			b.lay(now)
		} else if !b.bans.damaged {
			b.log.Warn().Err(err).Msg("bans not taken") // What is in force stays.
		}
		b.bans.damaged = err != nil
	}
	b.bans.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.banned {
		if s, known := b.byName[name]; known {
			b.pool.Drop(transport.Peer{Server: s, Address: b.servers[s].address})
		}
	}
}

// lay puts bans by hand over the list.
func (b *Balancer) lay(names []string) { b.layOver(&b.byHand, names) }

// layOver puts one kind of bans over the list, in place of those of its kind: the module hears of what changed as of changes of the list.
func (b *Balancer) layOver(kind *map[string]bool, names []string) {
	var changed []string
	b.mu.Lock()
	*kind = map[string]bool{}
	for _, name := range names {
		(*kind)[name] = true
	}
	before := b.banned
	b.banned = map[string]bool{}
	for _, names := range []map[string]bool{b.byHand, b.byFleet, b.byNews} {
		for name := range names {
			b.banned[name] = true
		}
	}
	now := b.now()
	b.module.BeginEndpointUpdate(policy.IncrementalList)
	for s := range b.servers {
		if name := b.servers[s].name; name != "" && before[name] != b.banned[name] {
			b.row(now, s)
			changed = append(changed, name)
		}
	}
	b.module.CommitEndpointUpdate(now)
	b.mu.Unlock()
	for _, name := range changed {
		switch kind {
		case &b.byHand:
			b.log.Info().Str("server", name).Bool("out", !before[name]).Msg("server by hand")
		case &b.byFleet:
			b.log.Info().Str("server", name).Bool("out", !before[name]).Msg("server by the fleet")
		default:
			b.log.Info().Str("server", name).Bool("out", !before[name]).Msg("server by another's list")
		}
	}
}

// row tells the module what stands of a server: by the list, and by hand.
func (b *Balancer) row(now int64, s int) {
	h := &b.servers[s]
	b.module.UpdateEndpoint(now, s, policy.EndpointInfo{Address: h.name, Health: b.stands(h), StartedAt: h.startedAt, MachineType: h.kind, Zone: h.zone, ReplicaGroup: h.cell, Weight: h.weight})
}

// stands is a server's health by the list, and by hand.
func (b *Balancer) stands(h *server) policy.Health {
	switch {
	case h.health == policy.Ready && b.banned[h.name]:
		return policy.Draining
	case b.keepsGone && h.health == policy.Removed && (b.banned[h.name] || h.spent):
		return policy.Draining // Else the module might use it.
	}
	return h.health
}

// leaves tells whether a server drains, whatever the module decided before it heard of that.
func (b *Balancer) leaves(s int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stands(&b.servers[s]) == policy.Draining
}

// listedOnce remembers a name, in place of the oldest where there are too many.
func (b *Balancer) listedOnce(name string) {
	if b.once[name] {
		return
	}
	if len(b.names) < maxServers {
		b.names = append(b.names, name)
	} else {
		delete(b.once, b.names[b.oldest])
		b.names[b.oldest] = name
		b.oldest = (b.oldest + 1) % maxServers
	}
	b.once[name] = true
}

func (f *bans) knows(stamp fs.FileInfo) bool {
	return f.seen != nil && os.SameFile(f.seen, stamp) && f.seen.ModTime().Equal(stamp.ModTime()) && f.seen.Size() == stamp.Size()
}

// lock keeps the other process from changing the file at the same time.
func (f *bans) lock() (unlock func(), err error) {
	if f.file == "" {
		return func() {}, nil
	}
	at, err := os.OpenFile(f.file+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockFor); ; time.Sleep(lockFor / 100) {
		if err = syscall.Flock(int(at.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return func() { at.Close() }, nil
		}
		if time.Now().After(end) { // Guards a call against another process that stands still with the lock.
			at.Close()
			return nil, err
		}
	}
}

// errSeen says that the file is as it was when it was read or written last.
var errSeen = errors.New("not changed")

// fresh gives the names in the file if another process wrote it since, and errSeen if none did: many bans in a row do not read it each time.
func (f *bans) fresh() ([]string, error) {
	if stamp, err := os.Stat(f.file); err == nil && f.knows(stamp) && !f.damaged {
		return nil, errSeen
	}
	return f.read()
}

// read gives the names in the file; none where there is no file yet.
func (f *bans) read() ([]string, error) {
	at, err := os.Open(f.file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer at.Close()
	if f.seen, err = at.Stat(); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(at, int64(maxBansFile)))
	if err != nil {
		return nil, err
	}
	var names []string
	if err := json.Unmarshal(text, &names); err != nil {
		return nil, fmt.Errorf("%s: %w", f.file, err)
	}
	if len(names) > maxBans {
		return nil, fmt.Errorf("%s: over %d names", f.file, maxBans)
	}
	return names, nil
}

// write puts the names in place of what the file holds, at one stroke.
func (f *bans) write(names []string) error {
	if f.file == "" {
		return nil
	}
	slices.Sort(names)
	text, err := json.Marshal(names)
	if err != nil {
		return err
	}
	if len(text) > maxBansFile { // A longer one would not be read again.
		return fmt.Errorf("%s: over %d bytes", f.file, maxBansFile)
	}
	aside := f.file + ".new"
	if err := os.WriteFile(aside, text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(aside, f.file); err != nil {
		return err
	}
	f.seen, err = os.Stat(f.file)
	return err
}
