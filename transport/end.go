package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
)

// End is how an attempt or a client's connection ended, one value for each way. Package routing maps it to the
// decision module's outcome, in one table.
type End int

// The ways to end. What matters most to a caller is whether the last byte of the message had been handed to the
// kernel: before that the peer can't have begun the request, since it starts none that is not complete; after it
// nobody here can tell. The comments say what the peer may have done.
const (
	// Open: it has not ended.
	Open End = iota

	// Succeeded: a response with a value or a receipt came; the peer ran the request.
	Succeeded
	// Failed: an error response came; the peer may have run the request, in part.
	Failed
	// Rejected: the peer rejected the request; it did not begin it.
	Rejected

	// ConnectRefused: connect failed at once; the peer has seen nothing.
	ConnectRefused
	// ConnectTimedOut: connect did not complete within its timeout; the peer has seen no byte of the request.
	ConnectTimedOut
	// LocalShortage: this machine or its limits left no connection or buffer; no peer is at fault, none has seen
	// anything.
	LocalShortage

	// BrokenBeforeSent: the connection broke before the last byte was handed over; the peer began nothing.
	BrokenBeforeSent
	// TimedOutBeforeSent: the deadline passed before the last byte was handed over; the peer began nothing. Of a
	// client: it did not complete a command, or did not read its replies, in time.
	TimedOutBeforeSent
	// CancelledBeforeSent: cancelled before the last byte was handed over; the peer began nothing.
	CancelledBeforeSent

	// BrokenAfterSent: the connection broke or was closed after the last byte was handed over; the peer may have run
	// the request.
	BrokenAfterSent
	// ResponseTimedOut: no complete response came before the deadline; the peer may have run the request, or may yet.
	ResponseTimedOut
	// CancelledAfterSent: cancelled after the last byte was handed over; the peer may have run the request, or may yet.
	CancelledAfterSent
	// Malformed: what came is malformed, or too long; a server may have run the request, a client can't be read any
	// further.
	Malformed

	// ClientDisconnected: the client closed its connection.
	ClientDisconnected
	// ClosedIdle: the listener closed a client's connection between commands, for room or because it stops.
	ClosedIdle
	// Overfull: the client's connection has not ended; more commands wait than its buffer holds.
	Overfull
)

// endNames are the ends' names at /metrics and in logs, which operators match: they stay as they are.
var endNames = [...]string{
	Open:                "open",
	Succeeded:           "settled",
	Failed:              "errored",
	Rejected:            "turned_away",
	ConnectRefused:      "refused",
	ConnectTimedOut:     "never_up",
	LocalShortage:       "no_room",
	BrokenBeforeSent:    "cut_short",
	TimedOutBeforeSent:  "stuck",
	CancelledBeforeSent: "withdrawn",
	BrokenAfterSent:     "broken",
	ResponseTimedOut:    "silent",
	CancelledAfterSent:  "called_off",
	Malformed:           "garbled",
	ClientDisconnected:  "left",
	ClosedIdle:          "spared",
	Overfull:            "surplus",
}

// String returns the end's name at /metrics and in logs.
func (e End) String() string { return endNames[e] }

// ClientEnds are the ends that a client's connection can have, in the order of /metrics.
var ClientEnds = [...]End{ClientDisconnected, ClosedIdle, Malformed, TimedOutBeforeSent, BrokenBeforeSent}

// endOfError maps an error of a read or write; isSent: the last byte of the message had been handed over.
func endOfError(err error, isSent bool) End {
	switch {
	case err == nil:
		return Open
	case errors.Is(err, os.ErrDeadlineExceeded) && isSent:
		return ResponseTimedOut
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOutBeforeSent
	case errors.Is(err, io.EOF) && !isSent:
		return ClientDisconnected
	case isSent:
		return BrokenAfterSent
	}
	return BrokenBeforeSent
}

// localErrnos are the errors of socket and connect that this machine gives for want of something of its own: no server
// is at fault, and none may lose traffic for it.
var localErrnos = [...]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN}

// IsLocalShortage reports whether this machine gave the error for want of something, which may be over in a moment.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrnos[:], errno)
}

// endOfDialError maps an error of a dial.
func endOfDialError(err error) End {
	var netErr net.Error
	switch {
	case IsLocalShortage(err):
		return LocalShortage
	case errors.As(err, &netErr) && netErr.Timeout():
		return ConnectTimedOut
	}
	return ConnectRefused
}
