package transport

import "time"

const (
	// maxReadMarks bounds how many reads of one client are told apart, and so what a client that pipelines can make
	// this package remember. Past it the two oldest count as the older one.
	maxReadMarks = 64
	// readMergeWindow is how close together reads count as one, so that maxReadMarks reach further back.
	readMergeWindow = 2 * time.Millisecond
	// firstReadWindow is how soon after a client is admitted its first bytes, if read by then, count as having been in
	// the kernel already.
	firstReadWindow = 20 * time.Millisecond
)

// readMark says that all bytes of a client before an offset had arrived at a time.
type readMark struct {
	endOffset int64
	at        time.Time
}

// arrivalTimes records when the bytes that wait in a client's buffer arrived. A request's time counts from the arrival
// of its last byte, also where it then waits behind others of its connection, for room for its client, or for the
// process to run; counted from the read, a request could be served after its client had given up on it. Only the
// goroutine that reads the client uses it: it does not lock.
type arrivalTimes struct {
	stalls        *StallClock
	firstOffset   int64     // offset in the stream of the first byte that waits in the buffer
	endOffset     int64     // offset behind the last byte that was read
	kernelEmptyAt time.Time // the kernel held no more bytes then
	marks         []readMark

	pendingSince time.Time // before the first read: since when bytes may have waited in the kernel; zero: they did not
	admittedAt   time.Time // when the client was admitted, after any wait for room
}

// newArrivalTimes returns the record of a client that may have waited since pendingSince to be admitted.
func newArrivalTimes(stalls *StallClock, pendingSince, admittedAt time.Time) *arrivalTimes {
	return &arrivalTimes{stalls: stalls, kernelEmptyAt: pendingSince, pendingSince: pendingSince, admittedAt: admittedAt}
}

// recordRead records a read of n bytes that returned at now; isAll: the kernel held no more.
func (a *arrivalTimes) recordRead(n int, isAll bool, now time.Time) {
	at := a.stalls.ArrivedAt(a.kernelEmptyAt, now)
	if !a.pendingSince.IsZero() && now.Sub(a.admittedAt) < firstReadWindow && a.pendingSince.Before(at) {
		at = a.pendingSince
	}
	if isAll {
		a.kernelEmptyAt, a.pendingSince = now, time.Time{}
	}
	a.endOffset += int64(n)
	last := len(a.marks) - 1
	switch {
	case last >= 0 && at.Sub(a.marks[last].at) < readMergeWindow:
		a.marks[last].endOffset = a.endOffset
		return
	case last+1 == maxReadMarks:
		a.marks[1].at = a.marks[0].at
		a.marks = a.marks[:copy(a.marks, a.marks[1:])]
	}
	a.marks = append(a.marks, readMark{a.endOffset, at})
}

// discard forgets the first n bytes that wait.
func (a *arrivalTimes) discard(n int) {
	a.firstOffset += int64(n)
	done := 0
	for done < len(a.marks) && a.marks[done].endOffset <= a.firstOffset {
		done++
	}
	a.marks = a.marks[:copy(a.marks, a.marks[done:])]
}

// arrivedAt returns when the n-th byte that waits arrived; now for one that has not been read.
func (a *arrivalTimes) arrivedAt(n int) time.Time {
	for _, mark := range a.marks {
		if mark.endOffset >= a.firstOffset+int64(n) {
			return mark.at
		}
	}
	return time.Now()
}
