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

// MalformedError tells where a batch breaks the wire's form.
type MalformedError struct {
	Line   int // from 1, over all batches
	Field  string
	Reason string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("line %d, field %s: %s", e.Line, e.Field, e.Reason)
}

// textField is the one field that runs to the end of its line, tabs and all.
const textField = "env"

type pair struct{ name, value []byte }

// reader takes lines apart. Its first error stays in err, and further calls return zeros, so that an event is read
// field by field and checked once.
type reader struct {
	in       *bufio.Reader
	line     int
	message  string // the line's name
	pairs    []pair
	longLine []byte // a line longer than the buffer of in; used again
	err      *MalformedError
}

func (r *reader) fail(field, why string) {
	if r.err == nil {
		r.err = &MalformedError{r.line, field, why}
	}
}

func (r *reader) failMissing(field string) { r.fail(field, "missing in '"+r.message+"'") }

func (r *reader) failUnknown(field string) {
	r.fail(field, "unknown name: "+strconv.Quote(string(r.find(field))))
}

// next reads a line; io.EOF only where nothing is left.
func (r *reader) next() error {
	text, err := r.readLine()
	if err != nil && (len(text) == 0 || !errors.Is(err, io.EOF)) {
		return err
	}
	r.line++
	text = bytes.TrimRight(text, "\r\n")
	message, rest, more := bytes.Cut(text, []byte{'\t'})
	r.message = string(message) // Short: it does not leave the stack in the comparisons that follow.
	r.pairs = r.pairs[:0]
	for more {
		equals := bytes.IndexByte(rest, '=')
		if equals < 0 {
			r.fail(string(rest), "no '=' between name and value")
			return r.err
		}
		name, value := rest[:equals], rest[equals+1:]
		if string(name) == textField {
			more = false
		} else {
			value, rest, more = bytes.Cut(value, []byte{'\t'})
		}
		r.pairs = append(r.pairs, pair{name, value})
	}
	return nil
}

// readLine reads up to the end of a line, of any length.
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

// find gives a field's value, nil where the line has none.
func (r *reader) find(field string) []byte {
	for i := range r.pairs {
		if string(r.pairs[i].name) == field {
			return r.pairs[i].value
		}
	}
	return nil
}

// text reads a field that has to be there.
func (r *reader) text(field string) []byte {
	value := r.find(field)
	if value == nil {
		r.failMissing(field)
	}
	return value
}

// integer reads a whole number. isThere is false where the field is not there, or no number.
func (r *reader) integer(field string, isNeeded bool) (n uint64, isThere bool) {
	value := r.find(field)
	if value == nil {
		if isNeeded {
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

// number reads a plain number; 0 where it is not there and not needed.
func (r *reader) number(field string, isNeeded bool) float64 {
	value := r.find(field)
	if value == nil {
		if isNeeded {
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

// duration reads a time in milliseconds into nanoseconds.
func (r *reader) duration(field string, isNeeded bool) int64 {
	return int64(math.Round(r.number(field, isNeeded) * 1e6))
}

// boolean reads 1 or 0; false where the field is not there.
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

// index reads a name and gives its index by the table; -1 where it is not needed and not there, empty or 0.
func (r *reader) index(field string, table map[string]int, isNeeded bool) int {
	value := r.find(field)
	if index, isKnown := table[string(value)]; isKnown {
		return index
	}
	switch {
	case value == nil && isNeeded:
		r.failMissing(field)
	case isNeeded || len(value) > 0 && string(value) != "0":
		r.failUnknown(field)
	}
	return -1
}

// writer builds the reply of one batch, an action a line.
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

// duration writes nanoseconds as milliseconds, to the microsecond that the wire counts in.
func (w *writer) duration(field string, nanoseconds int64) {
	w.name(field)
	w.out = strconv.AppendFloat(w.out, float64(nanoseconds/1000)/1000, 'f', 3, 64)
}
