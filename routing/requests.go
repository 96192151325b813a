package routing

import "hollylever/settings"

const (
	// largePiecesDivisor sets the part of the memory for requests up to which large values are streamed in pieces of
	// maxPieceSize, and largeValuesDivisor that up to which they are streamed at all.
	largePiecesDivisor = 4
	largeValuesDivisor = 2
)

// requestTable holds the requests that have not been released, and accounts for their memory. Balancer.mu guards it.
type requestTable struct {
	slots          []requestSlot
	indices        settings.IndexAllocator // of slots
	openIDs        map[string]*exchange    // the requests without a final reply, by ID
	abandonedIDs   map[string]*exchange    // the requests with an effect that still run although their client has left, by ID
	bytes          int64                   // of memory in use by the requests
	maxBytes       int64
	maxHeld        int // bound on unreleased requests from the settings
	maxHeldByFleet int // bound on unreleased requests from the fleet's configuration; applies once leaseCheck is set
	eventCapacity  int // of each request's event channel
}

// requestSlot is the state of one request that Balancer.mu guards and the policy's decisions update. The state that the
// request's goroutine owns is in exchange. An unused slot is zero.
type requestSlot struct {
	events           chan event
	attemptEndpoints []int // the endpoint of each attempt, in the order of the attempts
	isFinal          bool  // its final reply is decided, or its client has disconnected
	disconnectedAt   int64 // when its client disconnected, by the policy's clock; 0: it has not
	attemptDeadline  int64 // by the policy's clock; a final reply decided by then still reaches the client in time
}

func newRequestTable(settings map[string]any, maxBytes int64) requestTable {
	return requestTable{
		openIDs:      map[string]*exchange{},
		abandonedIDs: map[string]*exchange{},
		maxBytes:     maxBytes,
		maxHeld:      max(1, int(settingNumber(settings, "allowed.mostHeld"))),
		// Has room for all events of a request, so that no send blocks while Balancer.mu is held. An attempt has four
		// events at most: it is started; it is cancelled; its client is found disconnected or unread or its large value
		// begins; it ends. The request has a rejection or failure in addition.
		eventCapacity: 4*max(1, int(settingNumber(settings, "allowed.mostTrips"))) + 2,
	}
}

// allocate takes a slot for a request. It returns the slot's index and the request's event channel.
func (t *requestTable) allocate() (int, chan event) {
	events := make(chan event, t.eventCapacity)
	i := t.indices.Allocate()
	if i == len(t.slots) {
		t.slots = append(t.slots, requestSlot{})
	}
	t.slots[i] = requestSlot{events: events}
	return i, events
}

// isIDInUse reports whether another request of the same ID has an effect and has not ended, or its client waits for a reply. A server
// treats requests with the same ID as one and could answer either of them.
func (t *requestTable) isIDInUse(x *exchange) bool {
	other := t.openIDs[x.id]
	return t.abandonedIDs[x.id] != nil || other != nil && other != x && (other.result != nil || !other.client.hasDisconnected())
}

// closeID removes a request that has its final reply, or none to come, from the open ones.
func (t *requestTable) closeID(x *exchange) { deleteValue(t.openIDs, x.id, x) }

// abandonID marks a request with an effect whose client has left, and which runs on.
func (t *requestTable) abandonID(x *exchange) { t.abandonedIDs[x.id] = x }

// endAbandoned removes a request that has ended from those that run on without a client.
func (t *requestTable) endAbandoned(x *exchange) { deleteValue(t.abandonedIDs, x.id, x) }

// deleteValue removes a request from a map by ID, unless a later one has taken its place.
func deleteValue(byID map[string]*exchange, id string, x *exchange) {
	if byID[id] == x {
		delete(byID, id)
	}
}

// release frees a slot.
func (t *requestTable) release(i int) {
	t.slots[i] = requestSlot{}
	t.indices.Free(i)
}

// pieceSize returns the size in bytes of the pieces in which one more large value may be streamed, or 0 if it may not begin:
// values that clients read slowly leave at least half of the memory to other requests.
func (t *requestTable) pieceSize() int {
	switch {
	case t.bytes <= t.maxBytes/largePiecesDivisor:
		return maxPieceSize
	case t.bytes+piecesPerLargeValue*minPieceSize <= t.maxBytes/largeValuesDivisor:
		return minPieceSize
	}
	return 0
}

// isFull reports whether there is no capacity for one more request that takes this many bytes.
func (t *requestTable) isFull(bytes int64, appliesFleetLimit bool) bool {
	held := t.indices.InUse()
	return held >= t.maxHeld || appliesFleetLimit && held >= t.maxHeldByFleet || t.bytes+bytes > t.maxBytes
}
