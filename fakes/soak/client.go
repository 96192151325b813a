package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"hollylever/fakes"
)

// clients are all clients of a run.
type clients struct {
	plan      Plan
	processes []*process
	running   sync.WaitGroup

	mu       sync.Mutex
	requests []*request
	bad      []string // bad clients that got neither an error nor a close in time
}

const (
	meanPause   = 25 * time.Millisecond
	badClientIn = 3 * time.Second // a client that stops amid a command is owed its error or close within so long
	maxBurst    = 300
)

// run starts all of them. They begin nothing new once the context has ended.
func (c *clients) run(ctx context.Context) {
	client := func(n uint64, each func(context.Context, *rand.Rand, net.Conn, int)) {
		chance := rand.New(rand.NewPCG(c.plan.Seed, 1000+n))
		c.running.Go(func() {
			for ctx.Err() == nil {
				c.onConnection(ctx, chance, each)
			}
		})
	}
	for n := range c.plan.Clients {
		client(uint64(n), c.converse)
	}
	for n := range c.plan.Pipelines {
		client(uint64(10_000+n), c.burst)
	}
	for n := range c.plan.Crowd {
		client(uint64(20_000+n), c.idle)
	}
	client(30_000, c.stopAmidCommand)
}

// onConnection has a client do its part once, on a connection of its own to the process of that number.
func (c *clients) onConnection(ctx context.Context, chance *rand.Rand, each func(context.Context, *rand.Rand, net.Conn, int)) {
	conn, process := c.connect(chance)
	if conn == nil {
		return
	}
	defer conn.Close()
	each(ctx, chance, conn, process)
}

// connect makes a connection to some process that is in rotation.
func (c *clients) connect(chance *rand.Rand) (net.Conn, int) {
	p := c.processes[chance.IntN(len(c.processes))]
	if p.isInRotation() {
		if conn, err := net.DialTimeout("tcp", p.address, time.Second); err == nil {
			return conn, p.index
		}
	}
	time.Sleep(10 * time.Millisecond)
	return nil, 0
}

// newRequest draws a request.
func (c *clients) newRequest(chance *rand.Rand, process int, isFirst bool) (*request, string) {
	r := &request{id: fmt.Sprintf("%x-%016x", c.plan.Seed, chance.Uint64()), key: fmt.Sprintf("%016x", chance.Uint64N(200)+1),
		class: [...]string{"read", "read", "read", "report", "book"}[chance.IntN(5)], process: process, isFirst: isFirst,
		deadline: between(chance, c.plan.Deadline/2, c.plan.Deadline)}
	if chance.IntN(30) == 0 {
		r.deadline = time.Duration(1+chance.IntN(30)) * time.Millisecond
	}
	r.deadline = r.deadline.Truncate(time.Millisecond)
	fields := fmt.Sprintf("c=%s,t=acme,d=%d", r.class, r.deadline.Milliseconds())
	switch r.class {
	case "report":
		return r, fakes.EncodeCommand("C.SET", r.key, r.id, fields+",k="+r.id, "v")
	case "book":
		return r, fakes.EncodeCommand("C.SET", r.key, r.id, fields, "v")
	}
	return r, fakes.EncodeCommand("C.GET", r.key, r.id, fields)
}

func (c *clients) keep(requests ...*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, requests...)
}

// converse asks one request after another on a connection until that ends.
func (c *clients) converse(ctx context.Context, chance *rand.Rand, conn net.Conn, process int) {
	in := bufio.NewReader(conn)
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		r, words := c.newRequest(chance, process, isFirst)
		if !write(conn, words, chance) {
			return // It was not sent whole.
		}
		r.sent = time.Now()
		isOver := c.await(conn, in, r, chance)
		c.keep(r)
		if isOver {
			return
		}
		time.Sleep(time.Duration(chance.ExpFloat64() * float64(meanPause)))
	}
}

// write writes a command, sometimes in pieces; false: the connection has ended.
func write(conn net.Conn, words string, chance *rand.Rand) bool {
	if chance.IntN(10) == 0 {
		cut := 1 + chance.IntN(len(words)-1)
		if _, err := io.WriteString(conn, words[:cut]); err != nil {
			return false
		}
		time.Sleep(between(chance, time.Millisecond, 60*time.Millisecond))
		words = words[cut:]
	}
	_, err := io.WriteString(conn, words)
	return err == nil
}

// await waits for the answer as long as the client does; true: the connection is over.
func (c *clients) await(conn net.Conn, in *bufio.Reader, r *request, chance *rand.Rand) bool {
	until := r.sent.Add(r.deadline + answerSlack + time.Second)
	leaves := chance.IntN(6)
	switch leaves {
	case 0:
		until = r.sent.Add(time.Duration(chance.Float64() * float64(r.deadline)))
	case 1:
		until = r.sent.Add(r.deadline)
	}
	conn.SetReadDeadline(until)
	answer, err := fakes.ReadMessage(in)
	var timeout net.Error
	switch {
	case err == nil:
		r.answered, r.answer = time.Now(), strings.Join(answer, " ")
		return false
	case errors.As(err, &timeout) && timeout.Timeout() && leaves <= 1:
		if chance.IntN(2) == 0 {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
		r.left = time.Now()
	case errors.As(err, &timeout) && timeout.Timeout():
		r.err = err
	default:
		r.ended, r.err = time.Now(), err
	}
	return true
}

// burst writes many commands at once on a connection and reads their answers.
func (c *clients) burst(_ context.Context, chance *rand.Rand, conn net.Conn, process int) {
	in := bufio.NewReader(conn)
	var all []*request
	var text strings.Builder
	for range 10 + chance.IntN(maxBurst) {
		r, words := c.newRequest(chance, process, true)
		text.WriteString(words)
		all = append(all, r)
	}
	_, err := io.WriteString(conn, text.String())
	sent := time.Now()
	if err != nil {
		return
	}
	for _, r := range all {
		r.sent = sent
	}
	for n, r := range all {
		conn.SetReadDeadline(sent.Add(c.plan.Deadline + answerSlack + time.Second))
		answer, err := fakes.ReadMessage(in)
		var timeout net.Error
		isTimeout := errors.As(err, &timeout) && timeout.Timeout()
		if err != nil {
			for _, rest := range all[n:] {
				if rest.err = err; !isTimeout {
					rest.ended = time.Now()
				}
			}
			break
		}
		r.answered, r.answer = time.Now(), strings.Join(answer, " ")
	}
	// What waits for those before it on the connection does not count: each is held against the longest deadline before it.
	longest := time.Duration(0)
	for _, r := range all {
		if longest = max(longest, r.deadline); !r.answered.IsZero() && r.answered.After(sent.Add(r.deadline)) && !r.answered.After(sent.Add(longest+answerSlack)) {
			r.answered = sent.Add(min(r.deadline, r.answered.Sub(sent)))
		}
	}
	c.keep(all...)
	time.Sleep(between(chance, 50*time.Millisecond, 400*time.Millisecond))
}

// idle holds a connection that asks at most once.
func (c *clients) idle(_ context.Context, chance *rand.Rand, conn net.Conn, _ int) {
	if chance.IntN(2) == 0 {
		io.WriteString(conn, fakes.EncodeCommand("PING"))
	}
	conn.SetReadDeadline(time.Now().Add(between(chance, 200*time.Millisecond, 2*time.Second)))
	io.Copy(io.Discard, conn)
	time.Sleep(between(chance, 20*time.Millisecond, 200*time.Millisecond))
}

// stopAmidCommand sends half a command on a new connection and stays.
func (c *clients) stopAmidCommand(_ context.Context, chance *rand.Rand, conn net.Conn, process int) {
	_, words := c.newRequest(chance, process, true)
	io.WriteString(conn, words[:1+chance.IntN(len(words)-1)])
	began := time.Now()
	conn.SetReadDeadline(began.Add(badClientIn + networkSlack + maxHoldUp + time.Second))
	if _, err := io.Copy(io.Discard, conn); err != nil && errors.Is(err, net.ErrClosed) {
		return
	}
	if took := time.Since(began); took > badClientIn+networkSlack+maxHoldUp {
		c.mu.Lock()
		c.bad = append(c.bad, fmt.Sprintf("process %d keeps a client that stopped amid a command for %v", process, took))
		c.mu.Unlock()
	}
}
