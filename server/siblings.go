package server

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/rs/zerolog"

	"hollylever/routing"
	"hollylever/siblings"
	"hollylever/transport"
)

const (
	siblingsEvery = 50 * time.Millisecond
	siblingsSoon  = 5 * time.Millisecond   // while others are there: clients that move over must not wait for room
	joinFor       = 400 * time.Millisecond // one that starts waits so long for the others to make room
)

// limited is what the limits are laid on.
type limited struct {
	listener *transport.Listener
	pool     *transport.Pool
	balancer *routing.Balancer
	kept     int // descriptors that are for neither clients nor hosts
}

// layDescriptors sets how many connections there may be from now on, within what the system allows, and gives these numbers.
func (l limited) layDescriptors(clients, hosts int) (int, int) {
	clients, hosts = withinSystem(clients, hosts, l.kept)
	l.listener.Allow(clients)
	l.pool.Allow(hosts)
	return clients, hosts
}

// lay sets what this process may take now, and gives the numbers of connections.
func (l limited) lay(may siblings.Resources, part float64) (clients, hosts int) {
	l.listener.Budget.Allow(may.MemoryBytes / 3)
	l.balancer.SetLimits(may.MemoryBytes/6, part)
	return l.layDescriptors(int(may.ClientConnections), int(may.EndpointConnections))
}

// uses is what it takes.
func (l limited) uses() siblings.Resources {
	return siblings.Resources{ClientConnections: int64(l.listener.Count()), EndpointConnections: int64(l.pool.Count()), MemoryBytes: mapped()}
}

// mapped is the memory that the runtime holds from the system.
func mapped() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// join waits until the others have made room for this process, for a moment: one that stands still must not stop it.
func (l limited) join(k *siblings.Group) {
	for end := time.Now().Add(joinFor); time.Now().Before(end); time.Sleep(siblingsSoon) {
		may, part, others, err := k.Update(l.uses(), 0)
		if l.lay(may, part); err != nil || others == 0 || may.ClientConnections > 0 && may.EndpointConnections > 0 {
			return
		}
	}
	l.lay(siblings.Resources{ClientConnections: leastEach, EndpointConnections: leastEach, MemoryBytes: leastMemory << 20}, 0.1)
}

const leastEach = 8 // descriptors with which a process can serve at all

// share keeps the limits divided with the other processes of this balancer, until the context ends.
func (l limited) share(ctx context.Context, k *siblings.Group, log zerolog.Logger) {
	beside, odd, collector := -1, false, int64(0)
	tick := time.NewTicker(siblingsEvery)
	for ; ctx.Err() == nil; <-tick.C {
		may, part, others, err := k.Update(l.uses(), l.balancer.AttemptsSent())
		if err != nil && !odd {
			log.Warn().Err(err).Msg("siblings not told") // Once for a run of them.
		}
		odd = err != nil
		clients, hosts := l.lay(siblings.Resources{ClientConnections: max(may.ClientConnections, leastEach), EndpointConnections: max(may.EndpointConnections, leastEach), MemoryBytes: may.MemoryBytes}, part)
		if limit := max(may.MemoryBytes, leastMemory<<20) * 7 / 10; limit != collector {
			debug.SetMemoryLimit(limit)
			collector = limit
		}
		if others != beside {
			if beside = others; beside > 0 {
				tick.Reset(siblingsSoon)
			} else {
				tick.Reset(siblingsEvery)
			}
			log.Info().Int("beside", beside).Int("clients", clients).Int("hosts", hosts).
				Int64("memory_mb", may.MemoryBytes>>20).Msg("limits divided")
		}
	}
}
