package routing

import (
	"errors"
	"io"
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

const (
	// pieceSize in bytes: a large value is passed on in pieces, so that little of it is in memory.
	pieceSize = 16 << 10

	// nextLargePieceTimeout bounds the wait for the next piece of a large value.
	nextLargePieceTimeout = 3 * time.Second

	valueTerminator = "\r\n" // stands behind a value
)

// errTruncated says that a large value broke off.
var errTruncated = errors.New("the value breaks off")

// largeValue is a large value that an attempt has the beginning of: the exchange accepts it for its client, or not.
type largeValue struct {
	size       int // in bytes
	body       *io.PipeReader
	isAccepted chan bool // one answer of the exchange
}

// streamValue passes a large value on as it comes, so that little of it is ever here, and reads the rest of the
// answer. It returns how that ended, and whether the connection may be used again.
func (x *exchange) streamValue(line *transport.PooledConn, size int, result *attemptResult) (end transport.End, isReusable bool) {
	body, writer := io.Pipe()
	result.value = &largeValue{size: size, body: body, isAccepted: make(chan bool, 1)}
	x.events <- responseStarted{result.number, result.value}
	if !<-result.value.isAccepted {
		return transport.CancelledAfterSent, false
	}
	defer writer.CloseWithError(errTruncated) // Has no effect once the value is complete and the pipe closed.
	if end := copyBody(line, writer, size); end != transport.Open {
		return end, false
	}
	if end := readTerminator(line); end != transport.Open {
		return end, false
	}
	_, _ = writer.Write([]byte(valueTerminator)) // The reader may have gone: its client disconnected.
	_ = writer.Close()
	return x.balancer.readValueTrailer(line, result)
}

// copyBody passes on so many bytes: Open once all are.
func copyBody(line *transport.PooledConn, writer *io.PipeWriter, size int) transport.End {
	for size > 0 {
		if end := fillLarge(line); end != transport.Open {
			return end
		}
		piece := line.Unread()
		piece = piece[:min(size, len(piece))]
		if _, err := writer.Write(piece); err != nil {
			line.Cancel() // Nobody reads it any more.
			return transport.CancelledAfterSent
		}
		size -= len(piece)
		line.Skip(len(piece))
	}
	return transport.Open
}

// readTerminator reads the terminator of a value. Guards the client against a value that is not as long as was
// stated: it must be able to tell.
func readTerminator(line *transport.PooledConn) transport.End {
	for i := range len(valueTerminator) {
		if end := fillLarge(line); end != transport.Open {
			return end
		}
		if line.Unread()[0] != valueTerminator[i] {
			return transport.Malformed
		}
		line.Skip(1)
	}
	return transport.Open
}

// fillLarge reads the next piece of a large value, unless something is unread.
func fillLarge(line *transport.PooledConn) transport.End {
	if line.EnlargeEmptyBuffer(); len(line.Unread()) > 0 {
		return transport.Open
	}
	return line.Fill(time.Now().Add(nextLargePieceTimeout))
}

// readValueTrailer reads what stands behind a large value: the value was complete, whatever comes of it.
func (b *Balancer) readValueTrailer(line *transport.PooledConn, result *attemptResult) (end transport.End, isReusable bool) {
	deadline := time.Now().Add(nextPieceTimeout) // In all: a trailer that trickles in must not keep the request's slot.
	for {
		trailer := protocol.ParseResponseTail(line.Unread())
		if trailer.End == transport.Succeeded {
			result.cacheResult, result.load = int(trailer.CacheResult), b.parseReport(trailer.Report)
			line.Skip(trailer.Length)
			return transport.Succeeded, true
		}
		if trailer.End != transport.Open || line.Fill(deadline) != transport.Open {
			return transport.Succeeded, false
		}
	}
}
