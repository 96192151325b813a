package routing

import (
	"errors"
	"io"
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/transport"
)

const (
	// maxPieceSize and minPieceSize are the sizes in bytes of the pieces in which a large value is streamed, so that little of
	// it is in memory.
	maxPieceSize = 16 << 10
	minPieceSize = 2 << 10

	// nextLargePieceTimeout bounds the wait for the next piece of a large value.
	nextLargePieceTimeout = 3 * time.Second

	valueTerminator = "\r\n" // follows a value
)

// errTruncated tells the reader of a large value that the rest of the value will not arrive.
var errTruncated = errors.New("large value was not received completely")

// largeValue is a large value that is streamed: its beginning is passed on before all of it has arrived. The exchange accepts
// it as the final reply or refuses it.
type largeValue struct {
	size       int // in bytes
	pieceSize  int // in bytes, of what is in memory at once
	body       *io.PipeReader
	isAccepted chan bool // receives the exchange's decision once
	beganAt    time.Time // when its first bytes, or an error in their place, began to be written; set by writeTo
}

// streamValue streams a large value to the client as it arrives, so that little of it is in memory, and reads the rest
// of the reply. Its first byte must be unread: from then on the request has no deadline. It returns how that ended, and whether the
// connection may be reused.
func (x *exchange) streamValue(conn *transport.PooledConn, size, pieceSize int, result *attemptResult) (end transport.End, isReusable bool) {
	body, writer := io.Pipe()
	result.valueRecord.passedOnAt = time.Now()
	result.value = &largeValue{size: size, pieceSize: pieceSize, body: body, isAccepted: make(chan bool, 1)}
	x.events <- responseStarted{result.number, result.value}
	if !<-result.value.isAccepted {
		return transport.CancelledAfterSent, false
	}
	defer writer.CloseWithError(errTruncated) // Has no effect once the value is complete and the pipe is closed.
	if end := copyBody(conn, writer, result); end != transport.Open {
		return end, false
	}
	if end := readTerminator(conn); end != transport.Open {
		return end, false
	}
	_, _ = writer.Write([]byte(valueTerminator)) // Fails if the client has disconnected, which does not matter to the attempt.
	_ = writer.Close()
	length, isWhole := x.balancer.readValueTrailer(conn, 0, time.Now().Add(nextPieceTimeout), result)
	conn.Skip(length)
	return transport.Succeeded, isWhole
}

// writeTo streams the value to the client. Its header is written with its first bytes. If the client's disconnect has ended the value
// before that, an error is written instead.
func (v *largeValue) writeTo(c *transport.Client) delivery {
	defer func() { _ = v.body.Close() }() // Further writes by the attempt fail.
	piece := make([]byte, v.pieceSize)
	n, err := v.body.Read(piece)
	v.beganAt = time.Now()
	if err != nil {
		return deliveryOfWrite(writePart(c, protocol.AppendFailed(nil)))
	}
	end := writePart(c, protocol.AppendLargeValueHeader(nil, v.size))
	for ; err == nil && end == transport.Open; n, err = v.body.Read(piece) {
		end = writePart(c, piece[:n])
	}
	if end == transport.Open && !errors.Is(err, io.EOF) {
		return valueIncomplete
	}
	return deliveryOfWrite(end)
}

// handle streams a large value to the client, unless the request already has its final reply. The request is counted as
// answered once the value is complete.
func (e responseStarted) handle(x *exchange) {
	isAccepted := x.acceptLargeValue(e)
	if e.value.isAccepted <- isAccepted; !isAccepted {
		return
	}
	x.largeReply, x.isAnswered, x.record.outcome = e.value, true, outcomeAnswered
	for number, conn := range x.connections {
		if number != e.number {
			conn.Cancel()
		}
	}
	x.reply.reply <- reply{value: x.largeReply}
}

// acceptLargeValue makes an attempt's large value the final reply. It returns false if there already is one.
func (x *exchange) acceptLargeValue(e responseStarted) bool {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := &b.requests.slots[x.slot]
	if slot.isFinal {
		return false
	}
	slot.isFinal = true
	bytes := int64(piecesPerLargeValue * e.value.pieceSize)
	b.requests.bytes += bytes
	x.bytes += bytes
	b.policy.HandleResponseStarted(x.slot, e.number)
	return true
}

// countLargeValue counts the final reply of a request whose client is sent a large value. The caller holds Balancer.mu.
func (x *exchange) countLargeValue(outcome policy.Outcome) {
	b := x.balancer
	b.requests.closeID(x)
	if outcome == policy.OK {
		b.counters.incrementFor(outcomeAnswered, x.workload)
	} else {
		b.counters.incrementFor(outcomeFailed, x.workload)
	}
}

// copyBody copies a large value from the server's connection to the writer. It returns Open once all is copied.
func copyBody(conn *transport.PooledConn, writer *io.PipeWriter, result *attemptResult) transport.End {
	for size := result.value.size; size > 0; {
		if result.value.pieceSize == maxPieceSize {
			conn.EnlargeEmptyBuffer()
		}
		if end := fillLarge(conn); end != transport.Open {
			return end
		}
		piece := conn.Unread()
		piece = piece[:min(size, len(piece))]
		result.valueRecord.recordReceived(result.value.size-size+len(piece), time.Now())
		if _, err := writer.Write(piece); err != nil {
			conn.Cancel() // The reader was closed: the client needs no more of the value.
			return transport.CancelledAfterSent
		}
		size -= len(piece)
		conn.Skip(len(piece))
	}
	return transport.Open
}

// readTerminator reads the terminator of a value. Without it the value is not as long as was stated; the client then
// does not get the terminator either, and so can tell.
func readTerminator(conn *transport.PooledConn) transport.End {
	for i := range len(valueTerminator) {
		if end := fillLarge(conn); end != transport.Open {
			return end
		}
		if conn.Unread()[0] != valueTerminator[i] {
			return transport.Malformed
		}
		conn.Skip(1)
	}
	return transport.Open
}

// fillLarge reads the next piece of a large value, unless the buffer still holds unread bytes.
func fillLarge(conn *transport.PooledConn) transport.End {
	if len(conn.Unread()) > 0 {
		return transport.Open
	}
	return conn.Fill(time.Now().Add(nextLargePieceTimeout))
}

// readValueTrailer reads the rest of the response behind the first offset unread bytes, which are its large value. It returns
// the length of that rest, and whether it is whole. The attempt has succeeded without, since the value was complete. The
// deadline is for the whole trailer: one that trickles in must not keep the request's slot.
func (b *Balancer) readValueTrailer(conn *transport.PooledConn, offset int, deadline time.Time, result *attemptResult) (length int, isWhole bool) {
	for {
		trailer := protocol.ParseResponseTail(conn.Unread()[offset:])
		if trailer.End == transport.Succeeded {
			result.cacheResult, result.load = int(trailer.CacheResult), b.parseReport(trailer.Report)
			return trailer.Length, true
		}
		if trailer.End != transport.Open || conn.Fill(deadline) != transport.Open {
			return 0, false
		}
	}
}
