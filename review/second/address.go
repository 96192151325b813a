package main

import (
	"fmt"
	"time"
)

func init() { cases["10"] = addressTakenOver }

// addressTakenOver: a cache host is listed as gone, its successor starts at its address under another id, and drains later.
// Without the disruption the successor has an address of its own.
func addressTakenOver(s *stage) int {
	const grace = 250*time.Millisecond + 50*time.Millisecond // and the slack on sockets
	answer := func(c *command) string {
		time.Sleep(20 * time.Millisecond)
		return value(c.key() + "@" + c.id())
	}
	var hosts []*host
	var known []entry
	for n := range 6 {
		h := s.newHost(fmt.Sprint("s-", n+1), "", answer)
		hosts = append(hosts, h)
		known = append(known, entry{h.name, h.address, "riga-centrs", "mid-1", n % 2, "Ready", 1, 0})
	}
	d := s.newDiscovery(known...)
	p := s.newPlatform(rigaSettings(), d.whole(), d.address, false)
	p.begin("one")
	s.awaitPong(p.listen)
	stop := s.load(p.listen, 8, 100*time.Millisecond, "match-read", 1200*time.Millisecond)
	time.Sleep(2 * time.Second)

	hosts[0].stop()
	s.say("s-1 has died")
	gone := known[0]
	gone.Status = "Gone"
	d.change(gone)
	time.Sleep(time.Second)
	address := ""
	if s.trouble {
		address = hosts[0].address
	}
	isDraining := make(chan struct{})
	successor := s.newHost("s-7", address, func(c *command) string {
		select {
		case <-isDraining:
			return "-BUSY\r\n" // Draining: it finishes what it has, and wants nothing new.
		default:
			return answer(c)
		}
	})
	s.say("s-7 has started at %s", successor.address)
	d.change(entry{"s-7", successor.address, "riga-centrs", "mid-1", 0, "Ready", 1, time.Now().UnixMilli()})
	time.Sleep(5 * time.Second)
	draining := entry{"s-7", successor.address, "riga-centrs", "mid-1", 0, "Terminating", 1, time.Now().Add(-5 * time.Second).UnixMilli()}
	draining.SinceMS = d.entry("s-7").SinceMS
	told := d.awaitTold(d.change(draining), 5*time.Second)
	close(isDraining)
	s.say("the balancer was told that s-7 drains at %.3f", s.at(told))
	time.Sleep(30 * time.Second)
	answers := stop()
	s.say("answers to clients: %v", answers)

	late := 0
	for _, c := range successor.got() {
		if c.begun.After(told.Add(grace)) {
			late++
			s.say("s-7 got %v at %.3f, %.0f ms after the balancer was told that it drains", c.words, s.at(c.begun), float64(c.begun.Sub(told).Microseconds())/1e3)
		}
	}
	s.say("s-7 got %d retrievals in all, %d of them later than %v after its drain was told", len(successor.got()), late, grace)
	if late > 0 {
		return broken
	}
	return held
}
