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

// errListTooLong says that a list has more than maxListBytes.
var errListTooLong = errors.New("a list that is too long")

// listWatch is one call to discovery: a chunked answer that stays open and holds lists, with empty lines between
// while nothing changes.
type listWatch struct {
	balancer  *Balancer
	ctx       context.Context // its end cancels the watch; what the watch brings after that is not applied
	cancel    context.CancelCauseFunc
	discovery string
	index     uint64 // changes after this one are asked for
	err       error  // why it ended; set before it is sent on follower.ended

	// Guarded by Balancer.mu.
	heardAt       time.Time // when it began, or brought the last complete list or empty line
	isEstablished bool      // it has brought one
}

// overdueAt is when it should have brought something complete; listHeardAt: when any watch last did, or broke off.
func (w *listWatch) overdueAt(timeouts watchTimeouts, listHeardAt time.Time) time.Time {
	if w.isEstablished {
		return w.heardAt.Add(timeouts.line)
	}
	due, queueTimeout := w.heardAt.Add(timeouts.answer), listHeardAt.Add(timeouts.lastCall)
	if end := w.heardAt.Add(timeouts.giveUp - timeouts.spread); queueTimeout.After(end) {
		queueTimeout = end
	}
	if queueTimeout.After(due) {
		return queueTimeout
	}
	return due
}

// run makes the call and applies the lists that come until the watch breaks or is cancelled, and returns why it did.
func (w *listWatch) run(client *http.Client) error {
	giveUp := time.AfterFunc(w.balancer.watchTimeouts.giveUp, func() { w.cancel(errSilent) })
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
			w.balancer.watchHeard(w)
			w.balancer.watchRecovered(w)
		}}
	for lists := json.NewDecoder(stream); ; {
		var list json.RawMessage
		if err := lists.Decode(&list); err != nil {
			return errors.Join(err, context.Cause(w.ctx))
		}
		stream.listEnded(lists.Buffered())
		w.balancer.watchHeard(w)
		if err := w.balancer.applyList(w.ctx, list, false); err != nil {
			return err
		}
		w.balancer.watchRecovered(w)
	}
}

// listStream is the body of a watch's answer: JSON values, over lines as they like, with empty lines between while
// nothing changes.
type listStream struct {
	body      io.Reader
	progress  func() // is called when a list has begun or ended, or an empty line has come between two
	emptyLine func() // is called when an empty line has come between two
	isInList  bool   // a list has begun
	size      int    // of it, so far
}

// Read reads from the body. While a list has begun and not ended nothing counts as progress, however slowly it arrives.
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

// listEnded records that a list is complete; the rest of what was read may be the beginning of the next.
func (s *listStream) listEnded(rest io.Reader) {
	text, _ := io.ReadAll(rest)
	s.isInList, s.size = len(bytes.TrimSpace(text)) > 0, len(text)
	s.progress()
}
