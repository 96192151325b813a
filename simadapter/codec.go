package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// MalformedError reports where a batch violates the wire format.
type MalformedError struct {
	Line   int // from 1, over all batches
	Field  string
	Reason string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("line %d, field %s: %s", e.Line, e.Field, e.Reason)
}

// textField is the only field whose value extends to the end of the line and may contain tabs.
const textField = "env"

type pair struct{ name, value []byte }

// reader parses lines. It keeps the first error in err, so that a caller can read all fields of an event and check for
// an error once. A read that fails returns a zero value.
type reader struct {
	in       *bufio.Reader
	line     int
	message  string // the line's name
	pairs    []pair
	longLine []byte // holds a line that exceeds the buffer of in; reused
	err      *MalformedError
}

func (r *reader) fail(field, reason string) {
	if r.err == nil {
		r.err = &MalformedError{r.line, field, reason}
	}
}

func (r *reader) failMissing(field string) { r.fail(field, "missing in '"+r.message+"'") }

func (r *reader) failUnknown(field string) {
	r.fail(field, "unknown name: "+strconv.Quote(string(r.find(field))))
}

// next reads and parses a line. It returns io.EOF only if no input is left.
func (r *reader) next() error {
	text, err := r.readLine()
	if err != nil && (len(text) == 0 || !errors.Is(err, io.EOF)) {
		return err
	}
	r.line++
	text = bytes.TrimRight(text, "\r\n")
	message, rest, hasMore := bytes.Cut(text, []byte{'\t'})
	r.message = string(message) // Short: it stays on the stack in the comparisons that follow.
	r.pairs = r.pairs[:0]
	for hasMore {
		equals := bytes.IndexByte(rest, '=')
		if equals < 0 {
			r.fail(string(rest), "no '=' between name and value")
			return r.err
		}
		name, value := rest[:equals], rest[equals+1:]
		if string(name) == textField {
			hasMore = false
		} else {
			value, rest, hasMore = bytes.Cut(value, []byte{'\t'})
		}
		r.pairs = append(r.pairs, pair{name, value})
	}
	return nil
}

// readLine reads a line of any length. The result is valid until the next call.
func (r *reader) readLine() ([]byte, error) {
	text, err := r.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	r.longLine = append(r.longLine[:0], text...)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, text...)
	}
	return r.longLine, err
}

// find returns the value of a field, or nil if the line does not have the field.
func (r *reader) find(field string) []byte {
	for i := range r.pairs {
		if string(r.pairs[i].name) == field {
			return r.pairs[i].value
		}
	}
	return nil
}

// text reads a required field.
func (r *reader) text(field string) []byte {
	value := r.find(field)
	if value == nil {
		r.failMissing(field)
	}
	return value
}

// integer reads an unsigned integer. isPresent is false if the field is absent or not an integer.
func (r *reader) integer(field string, isRequired bool) (n uint64, isPresent bool) {
	value := r.find(field)
	if value == nil {
		if isRequired {
			r.failMissing(field)
		}
		return 0, false
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		r.fail(field, "not a whole number: "+strconv.Quote(string(value)))
		return 0, false
	}
	return n, true
}

// number reads a finite number. It returns 0 if the field is absent or not a number.
func (r *reader) number(field string, isRequired bool) float64 {
	value := r.find(field)
	if value == nil {
		if isRequired {
			r.failMissing(field)
		}
		return 0
	}
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		r.fail(field, "not a number: "+strconv.Quote(string(value)))
		return 0
	}
	return x
}

// duration reads a time in milliseconds and returns it in nanoseconds.
func (r *reader) duration(field string, isRequired bool) int64 {
	return int64(math.Round(r.number(field, isRequired) * 1e6))
}

// boolean reads 1 or 0. It returns false if the field is absent or empty.
func (r *reader) boolean(field string) bool {
	value := r.find(field)
	switch string(value) {
	case "1":
		return true
	case "0", "":
		return false
	}
	r.fail(field, "neither 0 nor 1: "+strconv.Quote(string(value)))
	return false
}

// index reads a name and returns its index in the table. It returns -1 if an optional name is absent, empty or "0", and
// on an error.
func (r *reader) index(field string, table map[string]int, isRequired bool) int {
	value := r.find(field)
	if index, isKnown := table[string(value)]; isKnown {
		return index
	}
	switch {
	case value == nil && isRequired:
		r.failMissing(field)
	case isRequired || len(value) > 0 && string(value) != "0":
		r.failUnknown(field)
	}
	return -1
}

// writer builds the reply to one batch, with one action per line.
type writer struct{ out []byte }

func (w *writer) begin(action, balancer string) {
	w.out = append(w.out, action...)
	w.text("balancer", balancer)
}

func (w *writer) end() { w.out = append(w.out, '\n') }

func (w *writer) name(field string) {
	w.out = append(w.out, '\t')
	w.out = append(w.out, field...)
	w.out = append(w.out, '=')
}

func (w *writer) text(field, value string) {
	w.name(field)
	w.out = append(w.out, value...)
}

func (w *writer) integer(field string, n uint64) {
	w.name(field)
	w.out = strconv.AppendUint(w.out, n, 10)
}

// duration writes nanoseconds as milliseconds, truncated to microseconds, the resolution of the wire.
func (w *writer) duration(field string, nanoseconds int64) {
	w.name(field)
	w.out = strconv.AppendFloat(w.out, float64(nanoseconds/1000)/1000, 'f', 3, 64)
}
