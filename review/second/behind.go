package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["6"] = behindValue }

// behindValue: a client sends several requests at once, the first of which is answered with a value over 64 KiB. The cache host
// dies in the middle of it. Without the disruption the value comes whole.
func behindValue(s *stage) int {
	const size = 200 << 10
	var hosts []*host
	var known []entry
	for n := range 4 {
		h := s.newHost(fmt.Sprint("s-", n+1), "", nil)
		h.answer = func(c *command) string {
			if !strings.Contains(c.words[3], "c=station-lookup") {
				time.Sleep(30 * time.Millisecond)
				return value("receipt for " + c.words[4] + " of " + c.id())
			}
			if c.key() != key(0) {
				time.Sleep(30 * time.Millisecond)
				return value(c.key() + "@" + c.id())
			}
			whole := value(strings.Repeat("v", size))
			io.WriteString(c.conn, whole[:size/2])
			time.Sleep(100 * time.Millisecond)
			if s.trouble {
				c.conn.(*net.TCPConn).SetLinger(0)
				return ""
			}
			return whole[size/2:]
		}
		hosts = append(hosts, h)
		known = append(known, entry{h.name, h.address, "almaty-1", "twin-core", n % 2, "Ready", 1, 0})
	}
	d := s.newDiscovery(known...)
	p := s.newPlatform(kzSettings(), d.whole(), d.address, false)
	p.begin("one")
	s.awaitPong(p.listen)
	lost := 0
	for round := range 5 {
		c, err := dial(p.listen)
		check(err, "connect")
		var text strings.Builder
		idsSent := []string{}
		send := func(list ...string) {
			text.WriteString(words(list...))
			idsSent = append(idsSent, list[2])
		}
		send("C.GET", key(0), newID(), "c=station-lookup,t=dala-charge,d=1500")
		for n := range 4 {
			send("C.GET", key(1+n), newID(), "c=station-lookup,t=dala-charge,d=1500")
		}
		send("C.SET", key(10+round), newID(), "c=slot-booking,t=dala-charge,d=1200", "driver-a")
		c.SetDeadline(time.Now().Add(4 * time.Second))
		_, err = io.WriteString(c, text.String())
		check(err, "send")
		s.say("the client sends %d requests at once: %v", len(idsSent), idsSent)
		for n, id := range idsSent {
			got, err := c.reply(4 * time.Second)
			switch {
			case err != nil && n == 0:
				s.say("the value for %s ends before it is whole: %v", id, err)
			case err != nil:
				lost++
				s.say("no answer to %s: %v", id, err)
			default:
				s.say("the answer to %s: %.60q, %d bytes", id, got, len(got))
			}
		}
		c.Close()
	}
	for _, h := range hosts {
		for _, c := range h.got() {
			if c.answered.IsZero() {
				s.say("%s got %v at %.3f and died in the middle of its answer", h.name, c.words, s.at(c.begun))
			} else {
				s.say("%s got %v at %.3f and answered it at %.3f", h.name, c.words, s.at(c.begun), s.at(c.answered))
			}
		}
	}
	s.say("%d requests that were taken got no answer", lost)
	if lost > 0 {
		return broken
	}
	return held
}
