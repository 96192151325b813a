package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["8"] = orderOverUpgrade }

// orderedSettings have the workload of liepaja-alliance that keeps its order. Hosts read through, as PROTOCOL.md has them.
func orderedSettings() map[string]any {
	s := kzSettings()
	s["workloads"] = []map[string]any{
		workload("board-read", "free", 4000, 600, 1500, 1, false),
		workload("orders-write", "free", 4000, 1000, 2500, 5, true),
	}
	s["invariants"].(map[string]any)["orderSettle"] = 50.0
	return s
}

// sending is one write of a key, as its client and the cache host saw it.
type sending struct {
	key, id     string
	sent, ended time.Time // by its client
	answer      string
}

// orderOverUpgrade: clients write to few keys, whose writes keep their order, over an upgrade under load.
func orderOverUpgrade(s *stage) int {
	var hosts []*host
	var known []entry
	for n := range 4 {
		h := s.newHost(fmt.Sprint("s-", n+1), "", func(c *command) string {
			time.Sleep(150 * time.Millisecond)
			return value(c.key() + "@" + c.id())
		})
		hosts = append(hosts, h)
		known = append(known, entry{h.name, h.address, "almaty-1", "twin-core", n % 2, "Ready", 1, 0})
	}
	d := s.newDiscovery(known...)
	p := s.newPlatform(orderedSettings(), d.whole(), d.address, true)
	old := p.begin("old")
	s.awaitPong(p.listen)

	var all sync.WaitGroup
	var isOver atomic.Bool
	var mu sync.Mutex
	var sendings []sending
	for n := range 24 {
		all.Go(func() {
			caller := caller{address: p.listen}
			for k := 0; !isOver.Load(); k++ {
				one := sending{key: key(n % 12), id: newID(), sent: time.Now()}
				var err error
				if one.answer, err = caller.ask(words("C.SET", one.key, one.id, "c=orders-write,d=2000", fmt.Sprintf("orders %d of %d", k, n)), 3*time.Second); err != nil {
					one.answer = "none: " + err.Error()
				}
				one.ended = time.Now()
				mu.Lock()
				sendings = append(sendings, one)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		p.begin("new")
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(6 * time.Second)
	isOver.Store(true)
	all.Wait()

	var commands []command
	for _, h := range hosts {
		commands = append(commands, h.got()...)
	}
	slices.SortFunc(commands, func(a, b command) int { return a.come.Compare(b.come) })
	last := map[string]command{}
	overlaps := 0
	for _, c := range commands {
		before, isKnown := last[c.key()]
		s.say("%s got the write %s of key %s at %.3f, and answered it at %.3f", c.host, c.id(), c.key(), s.at(c.begun), s.at(c.answered))
		if isKnown && c.begun.Before(before.answered) {
			overlaps++
			s.say("^ sent while the write %s of the same key was at %s until %.3f", before.id(), before.host, s.at(before.answered))
		}
		last[c.key()] = c
	}
	kinds := map[string]int{}
	for _, one := range sendings {
		kind := "served"
		if one.answer != one.key+"@"+one.id {
			kind = one.answer
		}
		kinds[kind]++
	}
	s.say("answers to clients: %v", kinds)
	s.say("%d writes at cache hosts; %d began while an earlier write of their key had no outcome", len(commands), overlaps)
	if overlaps > 0 {
		return broken
	}
	return held
}
