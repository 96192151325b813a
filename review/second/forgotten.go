package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["9"] = forgottenDrain }

// forgottenDrain: after a quiet time the balancer is told that a cache host drains; discovery goes down for 8 s, into the start
// of a new version. Without the disruption discovery stays up.
func forgottenDrain(s *stage) int {
	const (
		grace  = 2500*time.Millisecond + 50*time.Millisecond // and the slack on sockets
		outage = 8 * time.Second
	)
	var hosts []*host
	var known []entry
	for n := range 5 {
		h := s.newHost(fmt.Sprint("s-", n+1), "", func(c *command) string {
			time.Sleep(20 * time.Millisecond)
			return value(c.key() + "@" + c.id())
		})
		hosts = append(hosts, h)
		known = append(known, entry{h.name, h.address, "almaty-1", "twin-core", n % 2, "Ready", 1, 0})
	}
	drained := hosts[1]
	d := s.newDiscovery(known...)
	p := s.newPlatform(kzSettings(), d.whole(), d.address, true)
	old := p.begin("old")
	s.awaitPong(p.listen)
	stop := s.load(p.listen, 8, 50*time.Millisecond, "station-lookup", 1200*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	s.say("answers to clients before the quiet time: %v", stop())
	time.Sleep(6 * time.Second)

	entry := d.entry(drained.name)
	entry.Status = "Terminating"
	told := d.awaitTold(d.change(entry), 5*time.Second)
	s.say("process old was told that %s drains at %.3f", drained.name, s.at(told))
	time.Sleep(4 * time.Second)
	if s.trouble {
		d.down()
		s.say("discovery is down")
	}
	downAt := time.Now()
	time.Sleep(time.Second)
	if info, err := os.Stat(filepath.Join(p.place, "hollylever.learnt")); err == nil {
		s.say("the snapshot in $TMPDIR was written at %.3f", s.at(info.ModTime()))
	}
	p.begin("new")
	ready := time.Now()
	old.signal(syscall.SIGTERM)
	stop = s.load(p.listen, 8, 50*time.Millisecond, "station-lookup", 1200*time.Millisecond)
	time.Sleep(time.Until(downAt.Add(outage)))
	if s.trouble {
		d.up()
		s.say("discovery is up again")
	}
	time.Sleep(5 * time.Second)
	s.say("answers to clients after that: %v", stop())

	late, afterNews := 0, 0
	for _, c := range drained.got() {
		if !c.begun.After(told.Add(grace)) {
			continue
		}
		late++
		if c.begun.After(ready.Add(2*time.Second + grace)) {
			afterNews++
		}
		s.say("%s got %v at %.3f, %.1f s after the balancer was told that it drains", c.host, c.words, s.at(c.begun), c.begun.Sub(told).Seconds())
	}
	s.say("%s got %d retrievals later than %v after the balancer was told that it drains, %d of them also later than that after 2 s from the new process's yes",
		drained.name, late, grace, afterNews)
	if late > 0 {
		return broken
	}
	return held
}
