package transport

import (
	"sync/atomic"
	"time"
)

const (
	// hiddenEndTimeout bounds how long the end of a client's connection may be hidden. The protocol allows no work to begin for
	// a client later than 100 ms after it disconnected; the timeout is half of that.
	hiddenEndTimeout = 50 * time.Millisecond
	// maxUnreadBeforeEnd is how many bytes the kernel takes, with some to spare, however small the segments are in which they
	// come. With more unread the client's kernel may have to keep the rest, and the end behind it.
	maxUnreadBeforeEnd = 4 << 10
)

// hiddenEnd tells whether the end of a client's connection may be hidden behind unread bytes: the client's kernel sends it
// only after all bytes, and those only while this kernel takes them. It is safe for concurrent use.
type hiddenEnd struct {
	base      time.Time    // immutable
	visibleAt atomic.Int64 // ns since base, when an end would have been seen last; 0: the client is read as its bytes arrive
}

// recordUnread records that the client is read later, and how many bytes the kernel holds of it now.
func (h *hiddenEnd) recordUnread(bytes int) {
	if bytes < maxUnreadBeforeEnd || h.visibleAt.Load() == 0 {
		h.visibleAt.Store(h.now())
	}
}

// recordEmpty records that the kernel holds nothing of the client.
func (h *hiddenEnd) recordEmpty() { h.visibleAt.Store(0) }

// isHidden reports whether the end may have been hidden for longer than hiddenEndTimeout. unreadBytes is called only if
// the client is read late.
func (h *hiddenEnd) isHidden(unreadBytes func() int) bool {
	visibleAt := h.visibleAt.Load()
	if visibleAt == 0 {
		return false
	}
	if unreadBytes() < maxUnreadBeforeEnd {
		h.visibleAt.CompareAndSwap(visibleAt, h.now())
		return false
	}
	return h.now()-visibleAt > int64(hiddenEndTimeout)
}

// now returns the time since base in nanoseconds; it is never 0.
func (h *hiddenEnd) now() int64 { return 1 + int64(time.Since(h.base)) }
