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
	shareInterval = 50 * time.Millisecond // between two exchanges with the siblings while this process is alone
	// sharedInterval is that while siblings run: clients that move from one process to another must not wait for room.
	sharedInterval = 5 * time.Millisecond
	// waitForShareTimeout bounds the wait of a new process for the others to make room: one that hangs must not keep it
	// from serving.
	waitForShareTimeout = 400 * time.Millisecond

	minConnections  = 8   // clients, and as many cache hosts, with which a process can serve at all
	minAttemptShare = 0.1 // of the balancer's attempts, for a process that got no share in time
)

// capacity is what the configuration states of a process's resources.
type capacity struct {
	total       siblings.Resources // of all processes of the balancer together
	memoryBytes int64              // of this one

	maxClients, maxEndpointConnections int // of this one, where the system allows as many
	reservedDescriptors                int // for neither of them
}

func newCapacity(c *Configuration, inFleet bool) capacity {
	memory := int64(c.MemoryMB * (1 << 20))
	result := capacity{total: siblings.Resources{MemoryBytes: memory}, memoryBytes: memory, reservedDescriptors: reservedDescriptors}
	if inFleet {
		result.reservedDescriptors += fleetDescriptors
	}
	reserved := result.reservedDescriptors
	result.maxClients, result.maxEndpointConnections = divideDescriptors(c.MaxDescriptors, reserved)
	if c.hasInheritedSocket() {
		// Guards against two processes during an upgrade, whose memory counts together and each of which reserves
		// descriptors.
		result.memoryBytes /= 2
		result.maxEndpointConnections = max(0, result.maxEndpointConnections-reserved/2)
		result.maxClients = max(0, result.maxClients-reserved/2)
		result.total.ClientConnections, result.total.EndpointConnections = int64(result.maxClients), int64(result.maxEndpointConnections)
	}
	return result
}

// collectorLimit is the garbage collector's soft limit. The rest is for what the collector does not count, and for what
// grows between two collections.
func collectorLimit(memory int64) int64 { return memory * 7 / 10 }

// collectorPercent is GOGC by the memory, in its MB: a small machine collects sooner.
func collectorPercent(memory int64) int { return int(min(400, max(50, memory>>20))) }

// clientMemoryLimit is how much clients may make the process hold, in all: connections, buffers, requests and responses.
func clientMemoryLimit(memory int64) int64 { return memory / 2 }

// largeValueLimit is how much of that the buffers of clients' large values may hold, and as much those of servers' large values.
func largeValueLimit(memory int64) int64 { return memory / 3 }

// requestMemoryLimit is how much of that the commands in flight and their responses may hold.
func requestMemoryLimit(memory int64) int64 { return memory / 6 }

// resourceLimits lays limits on what takes a process's resources. Each of its parts has locks of its own.
type resourceLimits struct {
	listener            *transport.Listener
	pool                *transport.Pool
	balancer            *routing.Balancer
	reservedDescriptors int
}

// setConnectionLimits sets how many connections there may be from now on, within what the system allows, and returns
// these numbers.
func (l resourceLimits) setConnectionLimits(clients, endpoints int) (int, int) {
	clients, endpoints = withinSystem(clients, endpoints, l.reservedDescriptors)
	l.listener.SetLimit(clients)
	l.pool.SetLimit(endpoints)
	return clients, endpoints
}

// set sets what this process may use from now on, and which share of the balancer's attempts it sends. It returns the
// numbers of connections.
func (l resourceLimits) set(allowed siblings.Resources, attemptShare float64) (clients, endpoints int) {
	l.listener.Memory.SetLimit(clientMemoryLimit(allowed.MemoryBytes))
	l.listener.Budget.SetTotal(largeValueLimit(allowed.MemoryBytes))
	l.pool.Budget.SetTotal(largeValueLimit(allowed.MemoryBytes))
	l.balancer.SetLimits(requestMemoryLimit(allowed.MemoryBytes), attemptShare)
	return l.setConnectionLimits(int(allowed.ClientConnections), int(allowed.EndpointConnections))
}

// usage is what this process uses now.
func (l resourceLimits) usage() siblings.Resources {
	return siblings.Resources{ClientConnections: int64(l.listener.Count()), EndpointConnections: int64(l.pool.Count()), MemoryBytes: mappedMemory()}
}

// mappedMemory is the memory that the runtime holds from the system, in bytes.
func mappedMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// waitForShare waits until the siblings have made room for this process, at most for waitForShareTimeout; it starts
// with the least then.
func (l resourceLimits) waitForShare(group *siblings.Group) {
	for end := time.Now().Add(waitForShareTimeout); time.Now().Before(end); time.Sleep(sharedInterval) {
		allowed, attemptShare, others, err := group.Update(l.usage(), 0)
		l.set(allowed, attemptShare)
		if err != nil || others == 0 || allowed.ClientConnections > 0 && allowed.EndpointConnections > 0 {
			return
		}
	}
	l.set(siblings.Resources{ClientConnections: minConnections, EndpointConnections: minConnections, MemoryBytes: minMemoryMB << 20}, minAttemptShare)
}

// share keeps the balancer's resources divided among its processes until the context ends.
func (l resourceLimits) share(ctx context.Context, group *siblings.Group, log zerolog.Logger) {
	previousOthers, failed, previousLimit := -1, false, int64(0)
	ticker := time.NewTicker(shareInterval)
	for ; ctx.Err() == nil; <-ticker.C {
		allowed, attemptShare, others, err := group.Update(l.usage(), l.balancer.AttemptsSent())
		if err != nil && !failed {
			log.Warn().Err(err).Msg("sibling processes not updated") // Once for a run of errors.
		}
		failed = err != nil
		atLeast := siblings.Resources{ClientConnections: max(allowed.ClientConnections, minConnections),
			EndpointConnections: max(allowed.EndpointConnections, minConnections), MemoryBytes: allowed.MemoryBytes}
		clients, endpoints := l.set(atLeast, attemptShare)
		if limit := collectorLimit(max(allowed.MemoryBytes, minMemoryMB<<20)); limit != previousLimit {
			debug.SetMemoryLimit(limit)
			previousLimit = limit
		}
		if others == previousOthers {
			continue
		}
		previousOthers = others
		ticker.Reset(intervalBeside(others))
		log.Info().Int("siblings", others).Int("max_clients", clients).Int("max_endpoint_connections", endpoints).
			Int64("memory_mb", allowed.MemoryBytes>>20).Msg("resource limits changed")
	}
}

// intervalBeside is the time between two exchanges with so many siblings.
func intervalBeside(others int) time.Duration {
	if others > 0 {
		return sharedInterval
	}
	return shareInterval
}
