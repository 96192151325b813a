package routing

import "hollylever/settings"

// requestTable holds the requests that have not been released, and what they take. Balancer.mu guards it.
type requestTable struct {
	slots          []requestSlot
	indices        settings.IndexAllocator // of slots
	openIDs        map[string]bool         // of requests that have no final answer
	bytes          int64                   // of memory that the requests take
	maxBytes       int64
	maxHeld        int // requests, by the settings
	maxHeldByFleet int // requests, by the fleet's configuration; it counts once leaseCheck is set
	eventCapacity  int // of each request's channel of events
}

// requestSlot is what the policy's side knows of one request. A slot that is not in use is zero.
type requestSlot struct {
	events           chan event
	attemptEndpoints []int // the endpoint of each attempt, in the order of the attempts
	isFinal          bool  // its final answer is decided, or its client has gone
	clientGoneAt     int64 // by the policy's clock; 0: it has not
	attemptDeadline  int64 // by the policy's clock; a final answer at that time still arrives in time
}

func newRequestTable(settings map[string]any, maxBytes int64) requestTable {
	return requestTable{
		openIDs:  map[string]bool{},
		maxBytes: maxBytes,
		maxHeld:  max(1, int(settingNumber(settings, "allowed.mostHeld"))),
		// Guards against a send that blocks under the lock. An attempt has four events at most: it is started,
		// cancelled, its client is found gone or its value begins, and it ends; a request has a rejection or failure
		// besides.
		eventCapacity: 4*max(1, int(settingNumber(settings, "allowed.mostTrips"))) + 2,
	}
}

// allocate takes a slot for a request and returns its index, and the channel on which the request is sent its events.
func (t *requestTable) allocate() (int, chan event) {
	events := make(chan event, t.eventCapacity)
	i := t.indices.Allocate()
	if i == len(t.slots) {
		t.slots = append(t.slots, requestSlot{})
	}
	t.slots[i] = requestSlot{events: events}
	return i, events
}

// release frees a slot.
func (t *requestTable) release(i int) {
	t.slots[i] = requestSlot{}
	t.indices.Free(i)
}

// isFull reports whether there is no capacity for one more request of so many bytes.
func (t *requestTable) isFull(bytes int64, isFleetLimited bool) bool {
	held := t.indices.InUse()
	return held >= t.maxHeld || isFleetLimited && held >= t.maxHeldByFleet || t.bytes+bytes > t.maxBytes
}
