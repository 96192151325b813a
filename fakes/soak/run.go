package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"hollylever/fakes"
)

// faultChance is the part of the system calls that fail while such an event holds.
const faultChance = 0.3

// run is one plan being played.
type run struct {
	plan      Plan
	servers   []*server
	processes []*process
	discovery *fakes.Discovery
	events    sync.WaitGroup

	mu     sync.Mutex
	errors []error
}

// Play plays a plan in a folder and gives what was seen. Logs are the last lines of each process's log.
func Play(plan Plan, program Program, folder string) (result Result, logs []string, err error) {
	r := &run{plan: plan, discovery: fakes.NewDiscovery()}
	defer r.discovery.Close()
	entries := map[string]string{}
	for n := range plan.Servers {
		s, err := newServer("s-"+string(rune('a'+n)), plan.Seed+uint64(n), plan.Deadline)
		if err != nil {
			return result, nil, err
		}
		defer s.Close()
		r.servers = append(r.servers, s)
		entries[s.Name] = fakes.Entry(s.Name, s.Address, "Ready")
	}
	r.discovery.UpdateEntries(entries)
	defer r.endProcesses()
	for n := range plan.Processes {
		p, err := newProcess(n, plan, program, folder, r.discovery.FullList(), r.discovery.Address)
		if p != nil {
			r.processes = append(r.processes, p)
		}
		if err != nil {
			return result, nil, err
		}
	}
	late, stopLooking := lateness()
	ctx, end := context.WithCancel(context.Background())
	c := &clients{plan: plan, processes: r.processes}
	begin := time.Now()
	c.run(ctx)
	r.playEvents(begin)
	time.Sleep(time.Until(begin.Add(plan.Length)))
	end()
	c.running.Wait()
	r.events.Wait()
	stopLooking()
	r.endProcesses()
	result = check(plan, begin, c.requests, r.servers, late())
	for _, bad := range c.bad {
		result.Breaches = append(result.Breaches, Breach{"lost", bad})
	}
	for _, p := range r.processes {
		for _, crash := range p.crashes {
			result.Breaches = append(result.Breaches, Breach{"crash", crash})
		}
		logs = append(logs, strings.Join(p.log, "\n"))
	}
	for _, err := range r.errors {
		result.Breaches = append(result.Breaches, Breach{"crash", err.Error()})
	}
	return result, logs, nil
}

// playEvents begins each event at its time.
func (r *run) playEvents(begin time.Time) {
	var stopping sync.Map // processes that are being stopped, by index
	drawn := uint64(0)    // events before this one, without stalls, which take no chance
	for _, e := range r.plan.Events {
		chance := rand.New(rand.NewPCG(r.plan.Seed, drawn))
		if e.Kind != Stall {
			drawn++
		}
		r.events.Go(func() {
			time.Sleep(time.Until(begin.Add(e.At)))
			r.play(e, chance, &stopping)
		})
	}
}

func (r *run) play(e Event, chance *rand.Rand, stopping *sync.Map) {
	p, s := r.processes[e.Process], r.servers[e.Server]
	switch e.Kind {
	case HoldUp:
		p.holdUp(e.For)
	case Terminate:
		if _, is := stopping.LoadOrStore(e.Process, true); is {
			p.signal(syscall.SIGTERM) // One more of a series.
			return
		}
		p.stop(r.plan.Deadline, chance)
		time.Sleep(between(chance, time.Millisecond, 600*time.Millisecond))
		if err := p.start(); err != nil {
			r.mu.Lock()
			r.errors = append(r.errors, err)
			r.mu.Unlock()
		}
		stopping.Delete(e.Process)
	case Reload:
		for range e.Count {
			p.signal(syscall.SIGHUP)
			time.Sleep(between(chance, time.Millisecond, 20*time.Millisecond))
		}
	case Hang, Busy, Reset, Slow, Stall:
		s.mode(e.Kind, 1)
		time.Sleep(e.For)
		s.mode(e.Kind, -1)
	case Drain:
		r.drain(s, e.For)
	case Discovery:
		r.discovery.EndWatches()
	case AcceptFault, ConnectFault, Interrupts:
		p.fail(e.Kind, faultChance)
		time.Sleep(min(e.For, time.Second))
		p.fail(e.Kind, 0)
	}
}

// drain has a server drain for a while, unless it does already.
func (r *run) drain(s *server, span time.Duration) {
	if !s.drainedAt(time.Now()).IsZero() {
		return
	}
	s.drain(true)
	r.discovery.UpdateEntries(map[string]string{s.Name: fakes.Entry(s.Name, s.Address, "Terminating")})
	time.Sleep(span)
	s.drain(false)
	r.discovery.UpdateEntries(map[string]string{s.Name: fakes.Entry(s.Name, s.Address, "Ready")})
}

// endProcesses ends all that run still.
func (r *run) endProcesses() {
	for _, p := range r.processes {
		p.mu.Lock()
		p.isStopping = true
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		if cmd == nil {
			continue
		}
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		<-exited
	}
}

// lateness measures for how long the harness itself does not run.
func lateness() (longest func() time.Duration, stop func()) {
	const every = 2 * time.Millisecond
	ended, done := make(chan struct{}), make(chan struct{})
	most := time.Duration(0)
	go func() {
		defer close(done)
		for {
			before := time.Now()
			select {
			case <-ended:
				return
			case <-time.After(every):
				most = max(most, time.Since(before)-every)
			}
		}
	}()
	return func() time.Duration { return most }, func() { close(ended); <-done }
}
