package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
)

// End is how an attempt or a client's connection ended. Package routing maps it to the decision module's outcome, in
// one table.
type End int

// The values of End. The main distinction for a caller is whether the last byte of the message had been handed to the
// kernel: before that the peer can't have begun the request, since it starts only complete ones; after that it can't be
// known locally. Each comment says what the peer may have done.
const (
	// Open: the connection or attempt has not ended.
	Open End = iota

	// Succeeded: a response with a value or an acknowledgement was received; the peer ran the request.
	Succeeded
	// Failed: an error response was received; the peer may have run the request in part.
	Failed
	// Rejected: the peer rejected the request; it did not begin it.
	Rejected

	// ConnectRefused: connect failed, not by its timeout or a local shortage; the peer has received nothing.
	ConnectRefused
	// ConnectTimedOut: connect did not complete within its timeout; the peer has received no byte of the request.
	ConnectTimedOut
	// LocalShortage: a resource of this machine or a configured limit left no connection or buffer; no peer is at
	// fault, and none has received anything.
	LocalShortage

	// BrokenBeforeSent: the connection broke before the last byte was handed over; the peer did not begin the request.
	BrokenBeforeSent
	// TimedOutBeforeSent: the deadline passed before the last byte was handed over; the peer did not begin the
	// request. For a client's connection: the client did not complete a command or read its replies in time.
	TimedOutBeforeSent
	// CancelledBeforeSent: cancelled before the last byte was handed over; the peer did not begin the request.
	CancelledBeforeSent
	// TooLateToRepeat: another attempt may have run, and servers may no longer have dropped this one as its duplicate when
	// its last byte was about to be handed over; the peer did not begin the request.
	TooLateToRepeat

	// BrokenAfterSent: the connection broke or was closed after the last byte was handed over; the peer may have run
	// the request.
	BrokenAfterSent
	// ResponseTimedOut: no complete response arrived before the deadline; the peer may have run the request, or may
	// still.
	ResponseTimedOut
	// CancelledAfterSent: cancelled after the last byte was handed over; the peer may have run the request, or may
	// still.
	CancelledAfterSent
	// Malformed: the bytes received are malformed, or the message is too long; a server may have run the request, and a
	// client's connection can't be read any further.
	Malformed

	// ClientDisconnected: the client closed its connection.
	ClientDisconnected
	// ClosedIdle: the listener closed the client's connection between commands: for its idle timeout, for the client
	// limit, or for a stop.
	ClosedIdle
	// Overfull: the client's connection has not ended, but more commands are pending than its buffer holds.
	Overfull
)

// endNames are the names of ends at /metrics and in logs. Operators' tools match them, so they must not change.
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
	TooLateToRepeat:     "out_of_window",
	BrokenAfterSent:     "broken",
	ResponseTimedOut:    "silent",
	CancelledAfterSent:  "called_off",
	Malformed:           "garbled",
	ClientDisconnected:  "left",
	ClosedIdle:          "spared",
	Overfull:            "surplus",
}

// String returns the name of the end at /metrics and in logs.
func (e End) String() string { return endNames[e] }

// ProvesNotRun reports whether the peer has not begun the request: it rejected it, or its last byte was not sent.
func (e End) ProvesNotRun() bool { return e >= Rejected && e <= TooLateToRepeat }

// ClientEnds are the possible ends of a client's connection, in their order at /metrics.
var ClientEnds = [...]End{ClientDisconnected, ClosedIdle, Malformed, TimedOutBeforeSent, BrokenBeforeSent}

// endOfError maps an error of a read or write to an End. isSent tells that the last byte of the message had been handed
// to the kernel.
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

// localErrnos are the errors of socket and connect that are caused by a shortage on this machine: no server is at
// fault, and none may lose traffic for them.
var localErrnos = [...]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN}

// IsLocalShortage reports whether the error is caused by a shortage on this machine, which may be short-lived.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrnos[:], errno)
}

// endOfDialError maps an error of a dial to an End.
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
