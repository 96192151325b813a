// Package simadapter connects the operators' simulator to the decision module. It reads batches of events, calls the
// module for each event, and writes the module's actions as the reply. It makes no decisions of its own. The mapping
// from words of the wire to terms of the module is in wire.go.
package simadapter

import (
	"bufio"
	"errors"
	"io"
	"strconv"
)

// readBufferBytes is large enough for most batches, which can be megabytes long.
const readBufferBytes = 1 << 20

// Run processes batches until the input ends between two of them. It returns a *MalformedError for the first batch that
// violates the wire format.
func Run(input io.Reader, output io.Writer) error {
	a := &adapter{
		in:        &reader{in: bufio.NewReaderSize(input, readBufferBytes)},
		reply:     &writer{},
		instances: map[string]*instance{},
	}
	for {
		if err := a.in.next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if a.in.message == "" {
			continue // the empty line between batches
		}
		if err := a.processBatch(output); err != nil {
			return err
		}
	}
}

// adapter processes batches for many instances, which share only the reply buffer.
type adapter struct {
	in        *reader
	reply     *writer
	instances map[string]*instance
}

// processBatch processes one batch, whose first line has already been read, and writes its reply.
func (a *adapter) processBatch(output io.Writer) error {
	in := a.in
	if in.message != batchStart {
		in.fail(in.message, "a batch starts with 'sync'")
	}
	now := in.duration("wall", true)
	round, _ := in.integer("round", true)
	a.reply.out = a.reply.out[:0]
	if err := a.processEvents(now); err != nil {
		return err
	}
	if in.err != nil {
		return in.err
	}
	a.reply.out = append(a.reply.out, replyEnd...)
	a.reply.integer("round", round)
	a.reply.end()
	_, err := output.Write(a.reply.out)
	return err
}

// processEvents processes events up to the end of the batch or the first malformed event.
func (a *adapter) processEvents(now int64) error {
	for a.in.err == nil {
		if err := a.in.next(); errors.Is(err, io.EOF) {
			a.in.line++
			a.in.fail(batchEnd, "the input ends within a batch")
			return nil
		} else if err != nil {
			return err
		}
		if a.in.message == batchEnd {
			return nil
		}
		a.processEvent(now)
	}
	return nil
}

// processEvent creates or removes an instance, or calls the handler of the event for the instance it addresses.
func (a *adapter) processEvent(now int64) {
	in := a.in
	handle := handlers[in.message]
	if handle == nil && in.message != eventInit && in.message != eventDown {
		in.fail(in.message, "unknown event")
		return
	}
	name := string(in.text("balancer"))
	if in.message == eventInit {
		if n := newInstance(in, a.reply, name, now); n != nil {
			a.instances[name] = n
		}
		return
	}
	n := a.instances[name]
	if in.err == nil && n == nil {
		in.fail("balancer", "not begun: "+strconv.Quote(name))
	}
	switch {
	case in.err != nil:
	case in.message == eventDown:
		delete(a.instances, name)
	default:
		handle(n, in, now)
	}
}
