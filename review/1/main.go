// Case: bad clients that send many commands at once drive the balancer over its memory limit.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"review/standins"
)

const (
	memoryMB    = 32
	descriptors = 256

	goodClients = 8
	pause       = 40 * time.Millisecond // of a good client between its requests: 200 requests a second from all

	badClients = 100
	atOnce     = 300   // commands that a bad client sends at once
	valueBytes = 60000 // within the 64 KiB of a value

	calm     = 3 * time.Second
	lasts    = 20 * time.Second
	dAllowed = 1500 * time.Millisecond
)

func main() {
	r := standins.NewRecord()
	run := func(c *standins.Command) standins.Answer {
		time.Sleep(20 * time.Millisecond)
		return standins.Served("value of " + c.Key())
	}
	var hosts []*standins.Host
	for n := range 6 {
		hosts = append(hosts, standins.StartHost(r, fmt.Sprintf("s-%d", n+1), nil, run))
	}
	d := standins.StartDiscovery(r, hosts...)
	standins.MemoryMB, standins.Descriptors = memoryMB, descriptors
	p := standins.NewPlatform(r, d, standins.Settings(standins.KzChargeMap), false)
	b := p.Start("balancer")
	killed := b.KillOverMemory(memoryMB)

	var clients sync.WaitGroup
	var mu sync.Mutex
	answered, unanswered := 0, 0
	end := time.Now().Add(calm + lasts)
	for n := range goodClients {
		clients.Go(func() {
			c := p.Dial(fmt.Sprintf("good client %d", n))
			for round := 0; time.Now().Before(end); round++ {
				id := fmt.Sprintf("%04x%012x", n, round)
				c.Send(standins.Encode("C.GET", fmt.Sprintf("%016x", 100*n+round%100), id, "c=station-lookup,d=1500"))
				answer := c.Receive(id, dAllowed+time.Second)
				mu.Lock()
				if answer == "" {
					unanswered++
				} else {
					answered++
				}
				mu.Unlock()
				if answer == "" {
					return // The balancer has gone.
				}
				time.Sleep(pause)
			}
			c.Close()
		})
	}
	time.Sleep(calm)
	if standins.Trouble() {
		command := func(n, k, round int) []byte {
			return standins.Encode("C.SET", fmt.Sprintf("%016x", 1000*n+k), fmt.Sprintf("bad%04x%04x%05x", n, k, round), "c=no-such-class,d=1500",
				strings.Repeat("v", valueBytes))
		}
		r.Printf("%d bad clients begin: each sends %d commands of a class that does not exist at once, reads the answers, and begins anew", badClients, atOnce)
		for n := range badClients {
			clients.Go(func() {
				for round := 0; time.Now().Before(end); round++ {
					c := p.TryDial(fmt.Sprintf("bad client %d", n))
					if c == nil {
						return
					}
					go func() {
						for k := range atOnce {
							if _, err := c.Write(command(n, k, round)); err != nil {
								return
							}
						}
					}()
					answers := c.CountAnswers(atOnce, 3*time.Second)
					r.Printf("bad client %d: %d answers to %d commands, the first %s", n, answers.Count, atOnce, standins.Short(answers.First))
					c.Close()
				}
			})
		}
	}
	clients.Wait()
	var broken []string
	peak, wasKilled := killed()
	r.Printf("the balancer's anonymous memory was %d kB at most; its limit is %d kB", peak, memoryMB<<10)
	r.Printf("good clients: %d requests answered, %d without an answer", answered, unanswered)
	if wasKilled {
		broken = append(broken, fmt.Sprintf("the balancer was over its memory (%d kB of %d kB) and the platform killed it; %d requests of good clients got no answer",
			peak, memoryMB<<10, unanswered))
	} else if b.HasCrashed() {
		broken = append(broken, "the balancer crashed")
	}
	standins.Finish(r, broken)
}
