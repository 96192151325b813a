package routing

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// errListTooLong is returned for a list of more than maxListBytes.
var errListTooLong = errors.New("a list that is too long")

// listWatch is one long-lived HTTP request to discovery. Its chunked response carries lists, and empty lines while
// nothing changes.
type listWatch struct {
	balancer  *Balancer
	ctx       context.Context // once it is done, nothing that the watch still delivers is applied
	cancel    context.CancelCauseFunc
	discovery string
	index     uint64 // of the last list that the watch delivered; at first, the watch requests the changes after it
	err       error  // why the watch ended; set before the watch is sent on follower.ended

	// Guarded by Balancer.mu.
	lastDeliveryAt time.Time // when it last delivered a complete list or empty line; at first, when it was opened
	isEstablished  bool      // it has delivered a complete list or empty line
}

// overdueAt returns the time by which the watch should have delivered a complete list or empty line. listDeliveryAt is
// when any watch last did, or broke.
func (w *listWatch) overdueAt(timeouts watchTimeouts, listDeliveryAt time.Time) time.Time {
	if w.isEstablished {
		return w.lastDeliveryAt.Add(timeouts.line)
	}
	due, dueIfQueued := w.lastDeliveryAt.Add(timeouts.answer), listDeliveryAt.Add(timeouts.lastCall)
	if end := w.lastDeliveryAt.Add(timeouts.giveUp - timeouts.spread); dueIfQueued.After(end) {
		dueIfQueued = end
	}
	if dueIfQueued.After(due) {
		return dueIfQueued
	}
	return due
}

// run calls discovery and applies the lists it delivers until the watch breaks or is cancelled. It returns the cause.
func (w *listWatch) run(client *http.Client) error {
	giveUp := time.AfterFunc(w.balancer.watchTimeouts.giveUp, func() { w.cancel(errDiscoverySilent) })
	defer giveUp.Stop()
	url := fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", w.discovery, w.index)
	request, err := http.NewRequestWithContext(w.ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return errors.Join(err, context.Cause(w.ctx))
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", answer.Status)
	}
	stream := &listStream{body: answer.Body,
		progress: func() { giveUp.Reset(w.balancer.watchTimeouts.giveUp) },
		emptyLine: func() {
			w.balancer.watchDelivered(w)
			w.balancer.watchRecovered(w)
		}}
	for lists := json.NewDecoder(stream); ; {
		var list json.RawMessage
		if err := lists.Decode(&list); err != nil {
			return errors.Join(err, context.Cause(w.ctx))
		}
		stream.listEnded(lists.Buffered())
		w.balancer.watchDelivered(w)
		if err := w.balancer.applyWatchedList(w, list); err != nil {
			return err
		}
		w.balancer.watchRecovered(w)
	}
}

// listStream is the response body of a watch: JSON values, which may span several lines, and empty lines while nothing
// changes.
type listStream struct {
	body      io.Reader
	progress  func() // called when a list begins or ends, and on empty lines between lists
	emptyLine func() // called on empty lines between lists
	isInList  bool   // a list has begun and not ended
	size      int    // bytes of that list read so far
}

// Read reads from the body. Bytes within a list do not count as progress, so that a list that trickles in times out.
func (s *listStream) Read(into []byte) (int, error) {
	n, err := s.body.Read(into)
	if n > 0 && !s.isInList {
		s.isInList = len(bytes.TrimSpace(into[:n])) > 0
		s.progress()
		if !s.isInList {
			s.emptyLine()
		}
	}
	if s.isInList {
		s.size += n
	}
	if s.size > maxListBytes {
		return n, errListTooLong
	}
	return n, err
}

// listEnded records that a list is complete. rest is what was read beyond it, possibly the beginning of the next list.
func (s *listStream) listEnded(rest io.Reader) {
	text, _ := io.ReadAll(rest)
	s.isInList, s.size = len(bytes.TrimSpace(text)) > 0, len(text)
	s.progress()
}
