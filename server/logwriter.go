package server

import (
	"bytes"
	"io"
)

// logWriter passes lines on to an output that may block. Write never does: while the output blocks, a bounded number of
// lines waits, and the oldest of them are dropped for newer ones. Its methods are safe for concurrent use.
type logWriter struct {
	output  io.Writer
	lines   chan []byte
	closing chan struct{} // closed by Close
	done    chan struct{} // closed once all lines are written after that
}

// newLogWriter returns a writer that holds up to maxLines lines that wait for the output.
func newLogWriter(output io.Writer, maxLines int) *logWriter {
	w := &logWriter{output: output, lines: make(chan []byte, maxLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes over one line. The error is always nil.
func (w *logWriter) Write(line []byte) (int, error) {
	copied := bytes.Clone(line) // The caller reuses it.
	for {
		select {
		case w.lines <- copied:
			return len(line), nil
		default:
		}
		select {
		case <-w.lines: // Drops the oldest.
		default:
		}
	}
}

// Close returns once the lines that wait have been written. It is called once. Lines that come later are lost.
func (w *logWriter) Close() error {
	close(w.closing)
	<-w.done
	return nil
}

// run writes lines as they come, and after Close those that wait.
func (w *logWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.writeWaiting()
			return
		}
	}
}

func (w *logWriter) writeWaiting() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line; one that the output refuses is lost.
func (w *logWriter) writeLine(line []byte) { _, _ = w.output.Write(line) }
