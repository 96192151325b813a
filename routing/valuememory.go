package routing

import (
	"time"

	"hollylever/transport"
)

// The memory of a large value: a buffer for the whole of it while it is held, or pieces in which it is streamed.

const (
	// heldValueReserveDivisor sets the part of the memory that a held value leaves free while replies to other commands
	// wait beside it, and the loneValue constants the part of the memory within which any other value is held.
	heldValueReserveDivisor = 2
	loneValueNumerator      = 3
	loneValueDenominator    = 8
)

// takeBuffer takes a buffer for the whole response, and reports whether there was memory for it.
func (h *valueHold) takeBuffer() bool {
	h.hasBuffer = h.conn.GrowLeaving(h.response.bufferSize(), h.memoryForOthers()) == transport.Open
	return h.hasBuffer
}

// awaitMemory waits for the memory that streaming takes, and then for a buffer until the value may be passed on, if replies to other
// commands would be lost with the value. A value alone is passed on at once.
func (h *valueHold) awaitMemory() transport.End {
	x := h.exchange
	mayWait := h.mayWaitForBuffer()
	pieceSize := maxPieceSize
	if mayWait {
		pieceSize = minPieceSize
	}
	if end := x.awaitLargeValueMemory(h.conn, pieceSize, h.deadline, h.result); end != transport.Open {
		return end
	}
	for mayWait && !h.takeBuffer() && time.Now().Before(h.passOnFrom) {
		if end := x.awaitMemoryRetry(h.conn, h.passOnFrom); end != transport.Open && end != transport.ResponseTimedOut {
			return end
		}
		mayWait = h.mayWaitForBuffer()
	}
	return transport.Open
}

// mayWaitForBuffer reports whether it is worth while to wait for a buffer.
func (h *valueHold) mayWaitForBuffer() bool {
	return h.exchange.client.othersWait() && h.exchange.balancer.pool.Budget.MayEverGrant(h.response.bufferSize())
}

// reservePieces reserves the memory of the pieces in which the value is streamed, as large ones as there is memory for, and returns
// their size. The smallest are granted in any case: the value has begun, and would fail without.
func (h *valueHold) reservePieces() (size int) {
	b := h.exchange.balancer
	b.mu.Lock()
	size = max(minPieceSize, b.requests.pieceSize())
	b.mu.Unlock()
	more := int64(piecesPerLargeValue*size) - h.result.reservedMemory
	if more <= 0 {
		return int(h.result.reservedMemory / piecesPerLargeValue)
	}
	if !b.memory.Reserve(more, b.memory.Limit()/queuedResponseReserveDivisor) {
		size = minPieceSize
		more = max(0, int64(piecesPerLargeValue*size)-h.result.reservedMemory)
		b.memory.Add(more)
	}
	h.result.reservedMemory += more
	return size
}

// memoryForOthers returns how many bytes of memory a held value leaves free. A client that reads slowly occupies it for long, and
// one to which many replies are owed gets less than others.
func (h *valueHold) memoryForOthers() int64 {
	memory, client := h.exchange.balancer.memory, h.exchange.client
	limit := memory.Limit()
	if client.othersWait() {
		return limit/heldValueReserveDivisor + transport.KeepFree(memory, client.replyPosition())/2
	}
	return limit - limit*loneValueNumerator/loneValueDenominator
}
