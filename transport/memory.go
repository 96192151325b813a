package transport

import "sync/atomic"

// bufferReserveDivisor sets the part of the memory that clients' buffers leave free.
const bufferReserveDivisor = 4

// MemoryAccount bounds the memory that clients make the process hold: their connections, what is read from them, the
// requests in flight, and the responses that wait to be written. Holders reserve bytes before they allocate, and release
// them afterwards. It is safe for concurrent use. A nil MemoryAccount has no limit and counts nothing.
type MemoryAccount struct {
	inUse, limit atomic.Int64 // bytes
}

// NewMemoryAccount returns an account with the given limit in bytes.
func NewMemoryAccount(limit int64) *MemoryAccount {
	a := &MemoryAccount{}
	a.SetLimit(limit)
	return a
}

// SetLimit sets the limit in bytes. What is held stays held even if it exceeds the new limit.
func (a *MemoryAccount) SetLimit(limit int64) {
	if a != nil {
		a.limit.Store(limit)
	}
}

// Reserve takes n bytes if at least keepFree bytes remain after that, and reports whether it did. Callers that can
// reject or wait keep more free than others, so that those others are not held up.
func (a *MemoryAccount) Reserve(n, keepFree int64) bool {
	if a == nil {
		return true
	}
	if a.inUse.Add(n) > a.limit.Load()-keepFree {
		a.inUse.Add(-n)
		return false
	}
	return true
}

// Fits reports whether Reserve would succeed now.
func (a *MemoryAccount) Fits(n, keepFree int64) bool {
	return a == nil || a.inUse.Load()+n <= a.limit.Load()-keepFree
}

// Add takes n bytes even beyond the limit, for what exists already.
func (a *MemoryAccount) Add(n int64) {
	if a != nil {
		a.inUse.Add(n)
	}
}

// Release returns n bytes.
func (a *MemoryAccount) Release(n int64) { a.Add(-n) }

// InUse returns how many bytes are reserved.
func (a *MemoryAccount) InUse() int64 {
	if a == nil {
		return 0
	}
	return a.inUse.Load()
}

// Limit returns the limit in bytes; 0 for a nil account.
func (a *MemoryAccount) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit.Load()
}

// bufferReserve returns how many bytes of memory clients' buffers leave free, so that commands that were read completely
// and the responses to them find some, however much other clients send.
func bufferReserve(a *MemoryAccount) int64 { return a.Limit() / bufferReserveDivisor }

// isScarce reports whether more than half of the memory is in use: buffers that are only kept for reuse are released
// then.
func (a *MemoryAccount) isScarce() bool { return a != nil && a.InUse() > a.Limit()/2 }
