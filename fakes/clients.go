package fakes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is what clients ask: so many retrievals a second, at even distance, whatever is answered (but see MaxInFlight).
type Load struct {
	Rate     int
	Keys     int // Zipf over so many
	Seed     uint64
	Patience time.Duration
	Books    float64 // the part that are one-shots
	Reports  float64 // and that are stamped

	// MaxInFlight bounds the requests that wait for an answer; 0: no bound. Without a bound, clients that were delayed
	// send all that is due at once, which a balancer that has just started may reject as overload.
	MaxInFlight int
}

// Workloads are what clients ask, in the order of their figures.
var Workloads = [...]string{"read", "report", "book"}

// Latency bounds, in microseconds.
const (
	leastLatency, mostLatency = 1, 120e6
	digits                    = 3
)

// Clients ask at an address over kept connections, and open more when all are busy.
type Clients struct {
	mu      sync.Mutex
	idle    []*asker
	figures ClientFigures
	out     map[string]time.Time                    // retrievals without an answer, since when
	last    time.Time                               // when an answer came last, or nothing was out
	took    [len(Workloads)]*hdrhistogram.Histogram // microseconds, from when each was to be asked
	all     sync.WaitGroup

	inFlight atomic.Int32
}

type asker struct {
	*net.TCPConn
	in *bufio.Reader
}

// ClientFigures are what clients have seen.
type ClientFigures struct {
	Asked, Settled, Dismissed, GivenUp int
	Late                               int           // no answer within the patience and a quarter of a second
	Door                               int           // met a refused or reset connection, or one that ended unread
	Wrong                              int           // an answer that is another's
	Silence                            time.Duration // the longest time in which retrievals were out and no answer came
	Standstills                        []time.Duration
}

const (
	standstill = 250 * time.Millisecond // a silence over it is noted
	mostNoted  = 1000
	slack      = 250 * time.Millisecond
)

// Ask puts the load on an address until the context ends; Wait gives what was seen once all have their answer.
func Ask(ctx context.Context, address string, load Load) *Clients {
	c := &Clients{out: map[string]time.Time{}, last: time.Now()}
	for w := range c.took {
		c.took[w] = hdrhistogram.New(leastLatency, mostLatency, digits)
	}
	chance := rand.New(rand.NewPCG(load.Seed, 1))
	zipf := rand.NewZipf(chance, 1.1, 8, uint64(max(1, load.Keys-1)))
	c.all.Add(1)
	go func() {
		defer c.all.Done()
		began, n := time.Now(), 0
		for tick := time.NewTicker(5 * time.Millisecond); ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
			c.look(time.Now())
			for ; n < int(time.Since(began).Seconds()*float64(load.Rate)) && c.mayAsk(load.MaxInFlight); n++ {
				words := []string{"C.GET", fmt.Sprintf("%016x", zipf.Uint64()+1), fmt.Sprintf("%x-%x", load.Seed, n),
					fmt.Sprintf("c=read,d=%d", load.Patience.Milliseconds())}
				workload, draw := 0, chance.Float64()
				switch {
				case draw < load.Books:
					workload = 2
					words[0], words[3] = "C.SET", strings.Replace(words[3], "read", "book", 1)
					words = append(words, "v")
				case draw < load.Books+load.Reports:
					workload = 1
					words[0], words[3] = "C.SET", strings.Replace(words[3], "read", "report", 1)+fmt.Sprintf(",k=%016x", uint64(n)+load.Seed<<32)
					words = append(words, "v")
				}
				due := began.Add(time.Duration(float64(n) / float64(load.Rate) * 1e9))
				c.all.Add(1)
				c.inFlight.Add(1)
				go func() {
					defer c.all.Done()
					defer c.inFlight.Add(-1)
					c.ask(address, words, load.Patience, workload, due)
				}()
			}
		}
	}()
	return c
}

// mayAsk reports whether one more request may be in flight.
func (c *Clients) mayAsk(maxInFlight int) bool {
	return maxInFlight == 0 || int(c.inFlight.Load()) < maxInFlight
}

// look notes how long nothing has come.
func (c *Clients) look(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) == 0 {
		c.last = now
	}
	c.figures.Silence = max(c.figures.Silence, now.Sub(c.last))
}

// ask is one retrieval: over an idle connection, if that ends unread once more over a new one.
func (c *Clients) ask(address string, words []string, patience time.Duration, workload int, due time.Time) {
	until := time.Now().Add(patience + slack)
	c.mu.Lock()
	c.figures.Asked++
	c.out[words[2]] = time.Now()
	var a *asker
	if n := len(c.idle); n > 0 {
		a, c.idle = c.idle[n-1], c.idle[:n-1]
	}
	c.mu.Unlock()
	kept := a != nil
	var answer []string
	var err error
	for {
		if a == nil {
			var conn net.Conn
			if conn, err = net.DialTimeout("tcp", address, time.Until(until)); err != nil {
				break
			}
			a = &asker{conn.(*net.TCPConn), bufio.NewReader(conn)}
		}
		a.SetDeadline(until)
		if _, err = a.Write([]byte(EncodeCommand(words...))); err == nil {
			answer, err = ReadMessage(a.in)
		}
		if err != nil {
			a.Close()
			if kept && !timedOut(err) {
				a, kept = nil, false
				continue
			}
			a = nil
		}
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	delete(c.out, words[2])
	if silence := now.Sub(c.last); silence > standstill && len(c.figures.Standstills) < mostNoted {
		c.figures.Standstills = append(c.figures.Standstills, silence)
	}
	c.last = now
	if err == nil { // From when it was to be asked: a balancer that stands still does not make its clients ask later.
		_ = c.took[workload].RecordValue(max(leastLatency, min(mostLatency, now.Sub(due).Microseconds())))
	}
	switch {
	case timedOut(err):
		c.figures.Late++
	case err != nil:
		c.figures.Door++
	case len(answer) == 1 && strings.HasPrefix(answer[0], "-BUSY"):
		c.figures.Dismissed++
	case len(answer) == 1 && strings.HasPrefix(answer[0], "-"):
		c.figures.GivenUp++
	case len(answer) == 1 && strings.HasPrefix(answer[0], words[1]+"@"+words[2]):
		c.figures.Settled++
	default:
		c.figures.Wrong++
	}
	if a != nil {
		c.idle = append(c.idle, a)
	}
}

// Figures tells what was seen so far.
func (c *Clients) Figures() ClientFigures {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.figures
}

// Latency is a copy of how long answers to a workload took, in microseconds.
func (c *Clients) Latency(workload int) *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.took[workload].Export())
}

// Wait waits until all that was asked has ended, and closes the connections.
func (c *Clients) Wait() ClientFigures {
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.idle {
		a.Close()
	}
	c.idle = nil
	return c.figures
}

// timedOut tells whether an error is that of a deadline that has passed.
func timedOut(err error) bool {
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}
