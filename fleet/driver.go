package fleet

import (
	"context"
	"time"
)

// announceInterval is how often a process publishes its state to the other members. They consider it gone after
// several intervals without an announcement.
const announceInterval = time.Second

// Run handles messages and timers until ctx is cancelled, and then leaves the fleet. It must be called once, after
// Start.
func (f *Fleet) Run(ctx context.Context) {
	wake := time.NewTimer(0) // Fires when the lease holder or the replica has work due.
	defer wake.Stop()
	f.peerLists.timer = time.NewTimer(time.Hour) // Reset when a member's state arrives.
	defer f.peerLists.timer.Stop()
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	f.startRetry = time.NewTicker(startRetryInterval)
	defer f.startRetry.Stop()
	// Before any message is handled: an evacuated zone must not get requests because its endpoints are not known yet.
	f.updateMembers()
	var outlierTick <-chan time.Time
	var outlierMessages <-chan []byte
	if f.outliers != nil {
		ticker := time.NewTicker(outlierInterval)
		defer ticker.Stop()
		outlierTick, outlierMessages = ticker.C, f.outliers.messages
	}
	for {
		select {
		case <-ctx.Done():
			f.shutDown()
			return
		case message := <-f.inbox.messages:
			f.handleMessage(message)
		case message := <-outlierMessages:
			if f.outliers.handleMessage(message) {
				f.updateOutliers()
			}
		case <-outlierTick:
			f.updateOutliers()
			f.updateEvacuation(ctx)
		case <-wake.C:
		case <-f.inbox.stateReceived:
			f.peerLists.scheduleComparison(Now())
		case <-f.peerLists.timer.C:
			f.comparePeerLists()
		case <-f.startRetry.C:
			f.retryStart()
		case <-announce.C:
			f.announce()
			f.updateMembers()
		}
		wake.Reset(f.tick())
	}
}

// announce publishes this process's state, compares the endpoint lists and measures the load. It runs once a second.
func (f *Fleet) announce() {
	if f.exchange == nil {
		return
	}
	f.exchange.PublishState(f.memberState())
	f.comparePeerLists()
	f.measureLoad()
}

// updateMembers passes the present members and endpoints to the connection subset and to outlier detection.
func (f *Fleet) updateMembers() {
	endpoints, live := f.balancer.Endpoints(), f.liveMembers()
	f.updateConnectionSubset(live, endpoints)
	if f.outliers != nil {
		f.outliers.update(live, endpoints)
	}
}

// shutDown closes the exchange and the replica, so that the next process of this name can use the address and the log.
func (f *Fleet) shutDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exchange != nil {
		f.exchange.Close()
	}
	f.replica.state = nil
	f.replica.closeLog()
}
