package fleet

import (
	"context"
	"time"
)

// announceInterval is how often a process tells the others its card: a peer counts as gone after a few of these without one.
const announceInterval = time.Second

// Run drives the process's part until ctx ends, and leaves the fleet then. It is called once, after Start.
func (f *Fleet) Run(ctx context.Context) {
	wake := time.NewTimer(0) // The next time that the lease holder or the replica has something due.
	defer wake.Stop()
	f.peerLists.timer = time.NewTimer(time.Hour) // Set as cards come.
	defer f.peerLists.timer.Stop()
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	f.startRetry = time.NewTicker(startRetryInterval)
	defer f.startRetry.Stop()
	f.updateMembers() // Before any message: a zone that is evacuated must not get requests because its endpoints are not known yet.
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
		case <-f.inbox.cardReceived:
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

// announce tells the others this process's card, and does what is due once a second beside it.
func (f *Fleet) announce() {
	if f.exchange == nil {
		return
	}
	f.exchange.PublishState(f.card())
	f.comparePeerLists()
	f.measureLoad()
}

// updateMembers takes up which members and endpoints there are, for the connection subset and for outlier detection.
func (f *Fleet) updateMembers() {
	endpoints, live := f.acts.Endpoints(), f.liveMembers()
	f.updateConnectionSubset(live, endpoints)
	if f.outliers != nil {
		f.outliers.update(live, endpoints)
	}
}

// shutDown ends the exchange and the replica, so that the next process of this name can have their address and log.
func (f *Fleet) shutDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exchange != nil {
		f.exchange.Close()
	}
	f.replica.state = nil
	f.replica.closeLog()
}
