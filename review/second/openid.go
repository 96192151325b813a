package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["7"] = openID }

// openID: a bad client sends the id of another client's open request, with another value and tenant. Without the
// disruption it sends an id of its own.
func openID(s *stage) int {
	var hosts []*host
	var known []entry
	for n := range 4 {
		h := s.newHost(fmt.Sprint("s-", n+1), "", func(c *command) string {
			time.Sleep(250 * time.Millisecond)
			return value("receipt for " + c.words[4] + " of " + c.id())
		})
		hosts = append(hosts, h)
		known = append(known, entry{h.name, h.address, "almaty-1", "twin-core", n % 2, "Ready", 1, 0})
	}
	d := s.newDiscovery(known...)
	p := s.newPlatform(kzSettings(), d.whole(), d.address, false)
	p.begin("one")
	s.awaitPong(p.listen)
	served := 0
	for n := range 20 {
		usual, err := dial(p.listen)
		check(err, "connect")
		bad, err := dial(p.listen)
		check(err, "connect")
		wanted, id := key(n), newID()
		done := make(chan string)
		go func() {
			got, err := usual.ask(words("C.SET", wanted, id, "c=slot-booking,t=dala-charge,d=1000", "driver-a"), 2*time.Second)
			if err != nil {
				got = "none: " + err.Error()
			}
			done <- got
		}()
		time.Sleep(50 * time.Millisecond)
		badID := id
		if !s.trouble {
			badID = newID()
		}
		got, err := bad.ask(words("C.SET", wanted, badID, "c=slot-booking,t=nomad-volt,d=1000", "driver-b"), 2*time.Second)
		if err != nil {
			got = "none: " + err.Error()
		}
		s.say("the usual client's booking %s of %s for driver-a: %q", id, wanted, <-done)
		s.say("the other client's booking %s of %s for driver-b: %q", badID, wanted, got)
		if !strings.HasPrefix(got, "-") && !strings.HasPrefix(got, "none") && got != "receipt for driver-b of "+badID {
			served++
		}
		usual.Close()
		bad.Close()
	}
	runs := 0
	for _, h := range hosts {
		for _, c := range h.got() {
			runs++
			s.say("%s ran %v", h.name, c.words)
		}
	}
	s.say("%d runs; the other client was served %d times of 20 with what was made for another request", runs, served)
	if served > 0 {
		return broken
	}
	return held
}
