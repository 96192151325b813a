package transport

import "time"

const (
	// maxReadMarks bounds the number of reads recorded per client, and so the memory that a pipelining client can make
	// this package use. Beyond it, the two oldest reads are merged and keep the older time.
	maxReadMarks = 64
	// readMergeWindow is the interval within which reads are merged into one mark, so that maxReadMarks marks cover a
	// longer time.
	readMergeWindow = 2 * time.Millisecond
	// firstReadWindow is the time after a client's admission within which bytes that are read are assumed to have been
	// in the kernel before the admission.
	firstReadWindow = 20 * time.Millisecond
)

// readMark records that all bytes of a client's stream before endOffset had arrived by a time.
type readMark struct {
	endOffset int64
	at        time.Time
}

// arrivalTimes records when the unread bytes in a client's buffer arrived. A request's time limits are measured from
// the arrival of its last byte, including any time that it waits behind other requests of its connection, for the
// admission of its client, or for the process to be scheduled. Measured from the read instead, a request could be
// served after its client had given up on it. It is not safe for concurrent use; only the client's reading goroutine
// uses it.
type arrivalTimes struct {
	stalls        *StallClock
	firstOffset   int64     // stream offset of the first unread byte in the buffer
	endOffset     int64     // stream offset just past the last byte read from the kernel
	markedOffset  int64     // stream offset just past the last byte that the marks cover; it may be in the kernel still
	kernelEmptyAt time.Time // last time at which the kernel's receive buffer was known to be empty
	marks         []readMark

	unreadSince  time.Time // when recordUnread was called last; zero once the kernel was emptied since
	pendingSince time.Time // earliest time at which the first bytes may have arrived; zero once the kernel was emptied
	admittedAt   time.Time // when the client was admitted, after any wait for the client limit
}

// newArrivalTimes returns the record of a client that was admitted at admittedAt and may have waited for that since
// pendingSince.
func newArrivalTimes(stalls *StallClock, pendingSince, admittedAt time.Time) *arrivalTimes {
	return &arrivalTimes{stalls: stalls, kernelEmptyAt: pendingSince, pendingSince: pendingSince, admittedAt: admittedAt}
}

// recordRead records a read of n bytes that returned at now. isAll tells that the read emptied the kernel's receive
// buffer.
func (a *arrivalTimes) recordRead(n int, isAll bool, now time.Time) {
	at := a.arrivalOfRead(now)
	if isAll {
		a.kernelEmptyAt, a.pendingSince, a.unreadSince = now, time.Time{}, time.Time{}
	}
	a.endOffset += int64(n)
	a.mark(a.endOffset, at)
}

// recordUnread records that the kernel holds n bytes at now, which are read later. What arrives after them is taken to
// have arrived right now: the caller is going to wait before it reads.
func (a *arrivalTimes) recordUnread(n int, now time.Time) {
	if n > 0 {
		a.mark(a.endOffset+int64(n), a.arrivalOfRead(now))
	}
	a.unreadSince = now
}

// arrivalOfRead returns when bytes that are read at now, or found in the kernel, had arrived at the earliest.
func (a *arrivalTimes) arrivalOfRead(now time.Time) time.Time {
	notBefore, at := a.kernelEmptyAt, now
	if a.unreadSince.After(notBefore) {
		notBefore, at = a.unreadSince, a.unreadSince
	}
	at = a.stalls.ArrivedAt(notBefore, at)
	if !a.pendingSince.IsZero() && now.Sub(a.admittedAt) < firstReadWindow && a.pendingSince.Before(at) {
		return a.pendingSince
	}
	return at
}

// mark records that the bytes before an offset had arrived by a time, except those that earlier marks cover.
func (a *arrivalTimes) mark(endOffset int64, at time.Time) {
	if endOffset <= a.markedOffset {
		return
	}
	a.markedOffset = endOffset
	last := len(a.marks) - 1
	switch {
	case last >= 0 && at.Sub(a.marks[last].at) < readMergeWindow:
		a.marks[last].endOffset = endOffset
		return
	case last+1 == maxReadMarks:
		a.marks[1].at = a.marks[0].at
		a.marks = a.marks[:copy(a.marks, a.marks[1:])]
	}
	a.marks = append(a.marks, readMark{endOffset, at})
}

// discard drops the record of the first n unread bytes.
func (a *arrivalTimes) discard(n int) {
	a.firstOffset += int64(n)
	done := 0
	for done < len(a.marks) && a.marks[done].endOffset <= a.firstOffset {
		done++
	}
	a.marks = a.marks[:copy(a.marks, a.marks[done:])]
}

// arrivedAt returns when the n-th unread byte arrived, counted from 1, or the current time if it has not been read.
func (a *arrivalTimes) arrivedAt(n int) time.Time {
	for _, mark := range a.marks {
		if mark.endOffset >= a.firstOffset+int64(n) {
			return mark.at
		}
	}
	return time.Now()
}
