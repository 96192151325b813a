// Package policy decides where each request goes. This file holds what the module and whoever runs it
// agree on: the Host that the module acts through, and the plain words both use. No decision is made here.
//
// Times are whole nanoseconds. Requests, servers, classes, tenants, kinds and zones are small indices;
// the numbers of classes, tenants, kinds and zones are their places in the settings.
package policy

// Host carries out what the module decides. An attempt's number is its place in the order of a request's Sends.
type Executor interface {
	Send(request, server int, until int64)
	// Reject is a final rejection that is safe to try again, after comeBack if that is not 0.
	Reject(request int, why Reason, comeBack int64)
	Fail(request int, why Reason) // final: promises nothing
	Cancel(request, attempt int)
	SetTimer(tag int, after int64)
	WatchEndpoints()
}

// Outcome tells how an attempt or a probe ended.
type Outcome int

// The outcomes of an attempt. Full, Unreached, Unsent and Missing prove that it never ran.
const (
	OK Outcome = iota
	Errored
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	CacheMiss
)

// Scope tells what a list of servers holds.
type UpdateKind int

// The scopes of a list.
const (
	IncrementalList UpdateKind = iota
	FullList
	SavedList
	UpdateFailed
)

// Health is a server's state by the list.
type Health int

// The states that a list knows.
const (
	Ready Health = iota
	Draining
	Removed
)

// Effect says whether a request may run again.
type Effect int

// The effects of a class.
const (
	Safe Effect = iota
	Idempotent
	NonIdempotent
)
