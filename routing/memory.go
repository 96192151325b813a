package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

const (
	// memoryPerRequest is what an admitted request takes besides its command and its response, in bytes: the stacks of its
	// goroutine and of those of its attempts, its channels, the policy's state, and a small response.
	memoryPerRequest = 12 << 10
	// smallResponse is the length in bytes up to which a response is part of memoryPerRequest.
	smallResponse = 2 << 10
	// responseTail is how many bytes of a response are expected behind its value: the cache result and a load report.
	responseTail = 512
	// piecesPerLargeValue is how many pieces of a large value are in memory: one is read while another is written.
	piecesPerLargeValue = 2

	// memoryRetryInterval is how often an attempt that waits for memory tries again.
	memoryRetryInterval = 5 * time.Millisecond

	// admissionReserveDivisor sets the part of the memory that is kept free when a request is admitted, so that the
	// responses of those that were admitted before find some.
	admissionReserveDivisor = 8
	// queuedResponseReserveDivisor sets the part of the memory that a response leaves free if it can't be written yet,
	// since others of its client come before. Otherwise these could find none, and all would wait for one another.
	queuedResponseReserveDivisor = 4
)

// commandMemory returns how many bytes of memory a request takes from its admission on: its command, and a copy of that
// while it is sent. A large value comes with memory of its own and is sent without a copy.
func (x *exchange) commandMemory() int64 {
	if protocol.HasLargeValue(x.arguments) {
		return memoryPerRequest
	}
	return memoryPerRequest + 2*x.bytes
}

// hasMemory reports whether there is memory for the request. A client to which many replies are owed gets less than
// others. The caller holds Balancer.mu.
func (x *exchange) hasMemory() bool {
	memory := x.balancer.memory
	if memory == nil {
		return true
	}
	keepFree := memory.Limit()/admissionReserveDivisor + transport.KeepFree(memory, x.client.replyPosition())
	return memory.Fits(x.commandMemory(), keepFree)
}

// memoryForOthers returns how many bytes of memory the response of the request has to leave free.
func (x *exchange) memoryForOthers() int64 {
	memory, position := x.balancer.memory, x.client.replyPosition()
	if position == 0 {
		return 0
	}
	return memory.Limit()/queuedResponseReserveDivisor + transport.KeepFree(memory, position)/2
}

// awaitResponseMemory reserves the memory for reading a response, and waits for it until the deadline: the rest of the
// response stays in the kernel meanwhile. All of it is reserved at once, since attempts that each hold a part would wait
// for one another. It returns Open once the memory is held.
func (x *exchange) awaitResponseMemory(conn *transport.PooledConn, bytes int64, deadline time.Time, result *attemptResult) transport.End {
	memory := x.balancer.memory
	for !memory.Reserve(bytes, x.memoryForOthers()) {
		if end := x.awaitMemoryRetry(conn, deadline); end != transport.Open {
			return end
		}
	}
	result.reservedMemory = bytes
	return transport.Open
}

// awaitLargeValueMemory reserves the memory for streaming a large value, and waits for it until the deadline, as
// awaitResponseMemory does: for pieces of at most maxSize.
func (x *exchange) awaitLargeValueMemory(conn *transport.PooledConn, maxSize int, deadline time.Time, result *attemptResult) transport.End {
	b := x.balancer
	for {
		b.mu.Lock()
		pieceSize := min(maxSize, b.requests.pieceSize())
		b.mu.Unlock()
		if bytes := int64(piecesPerLargeValue * pieceSize); bytes > 0 && b.memory.Reserve(bytes, b.memory.Limit()/queuedResponseReserveDivisor) {
			result.reservedMemory = bytes
			return transport.Open
		}
		if end := x.awaitMemoryRetry(conn, deadline); end != transport.Open {
			return end
		}
	}
}

// awaitMemoryRetry waits until memory is to be tried again, until the deadline. It returns Open if it is to be tried.
func (x *exchange) awaitMemoryRetry(conn *transport.PooledConn, deadline time.Time) transport.End {
	if !time.Now().Before(deadline) {
		return transport.ResponseTimedOut
	}
	if conn.IsCancelled() {
		return transport.CancelledAfterSent
	}
	time.Sleep(memoryRetryInterval)
	return transport.Open
}

// reserveRead makes sure that the memory for the next read of a response is held. A response that is longer than was to
// be expected takes more without waiting.
func (x *exchange) reserveRead(conn *transport.PooledConn, deadline time.Time, result *attemptResult) transport.End {
	if conn.NextBuffer() <= smallResponse {
		return transport.Open
	}
	size := conn.NextBuffer()
	if result.reservedMemory == 0 {
		size = max(size, protocol.MinResponseLength(conn.Unread())+responseTail)
		if end := x.awaitResponseMemory(conn, readMemory(size), deadline, result); end != transport.Open {
			return end
		}
		conn.Enlarge(size)
		return transport.Open
	}
	if more := readMemory(size) - result.reservedMemory; more > 0 {
		x.balancer.memory.Add(more)
		result.reservedMemory += more
	}
	return transport.Open
}

// readMemory returns how many bytes of memory reading a response into a buffer of a given size takes: the buffer, and as
// much again for the client's copy of the response.
func readMemory(size int) int64 { return 2 * int64(min(size, transport.MaxBuffer)) }

// keepReserved lowers the memory that an attempt holds to that of an answer of a given length. A small one takes none.
func (x *exchange) keepReserved(answer int, result *attemptResult) {
	kept := int64(0)
	if answer > smallResponse {
		kept = int64(answer)
	}
	x.balancer.memory.Add(kept - result.reservedMemory)
	result.reservedMemory = kept
}
