// Case: clients that stop in the middle of a request keep their places for ten seconds, and the requests of other
// clients are not answered.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/standins"
)

const (
	descriptors = 512
	stopping    = 300 // clients that stop in the middle of a request
	good        = 5   // clients that open a connection for each request
	gap         = 200 * time.Millisecond
	hardStop    = 5 * time.Second
	slack       = 50 * time.Millisecond  // each time limit is that much longer on sockets
	late        = 500 * time.Millisecond // an answer that comes later than that after its time is lost
	gathering   = 1500 * time.Millisecond
	lasts       = 6 * time.Second
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
	standins.Descriptors = descriptors
	p := standins.NewPlatform(r, d, standins.Settings(standins.RecifeLavanderia), false)
	b := p.Start("balancer")
	command := func(client, n int) (string, []byte) {
		id := fmt.Sprintf("%08x%08x", client, n)
		return id, standins.Encode("C.GET", fmt.Sprintf("%016x", client), id, fmt.Sprintf("c=consulta-lote,d=%d", hardStop.Milliseconds()))
	}

	// Each of the clients that will stop is served once.
	var stopped sync.WaitGroup
	var mu sync.Mutex
	held, longest := 0, time.Duration(0)
	places := make(chan bool, 30) // So many at a time are being served.
	begun := time.Now()
	for n := range stopping {
		stopped.Go(func() {
			for round := 0; time.Since(begun) < gathering; round++ { // One that is turned away comes again.
				places <- true
				c := p.TryDial(fmt.Sprintf("client %d", n))
				isServed := c != nil
				if isServed {
					id, text := command(n, 2*round)
					c.Send(text)
					isServed = c.Receive(id, hardStop+late) != ""
				}
				isStopping := isServed && standins.Trouble()
				if isStopping {
					_, text := command(n, 2*round+1)
					r.Printf("client %d sends half of a request and stays", n)
					_, err := c.Write(text[:len(text)/2])
					isStopping = err == nil
				}
				since := time.Now()
				<-places
				if c == nil {
					return
				}
				if isStopping {
					answer := c.Receive("half a request", 15*time.Second) // Its error, or the end of its connection.
					took := time.Since(since)
					r.Printf("client %d: %q or a close after %v", n, answer, took)
					mu.Lock()
					if took > 3*time.Second+50*time.Millisecond {
						held++
						longest = max(longest, took)
					}
					mu.Unlock()
				}
				c.Close()
				if !standins.Trouble() {
					return
				}
			}
		})
	}
	time.Sleep(gathering)

	var clients sync.WaitGroup
	sent, lost := 0, 0
	end := time.Now().Add(lasts)
	for n := range good {
		clients.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				clients.Go(func() {
					c := p.TryDial(fmt.Sprintf("good client %d.%d", n, round))
					if c == nil {
						return // It was refused: nothing was taken.
					}
					defer c.Close()
					id, text := command(10000+n, round)
					c.Send(text)
					answer := c.Receive(id, hardStop+late+slack)
					mu.Lock()
					defer mu.Unlock()
					if sent++; answer == "" {
						lost++
					}
				})
				time.Sleep(gap)
			}
		})
	}
	clients.Wait()
	stopped.Wait()
	r.Printf("good clients: %d requests, %d lost; clients that stopped: %d were kept for over 3 s, the longest for %v", sent, lost, held, longest)
	var broken []string
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d requests on connections that the balancer's machine had accepted got no answer within their time and half a second", lost, sent))
	}
	if b.HasCrashed() {
		broken = append(broken, "the balancer crashed")
	}
	standins.Finish(r, broken)
}
