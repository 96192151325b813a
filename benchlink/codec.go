// Package benchlink speaks the bench's wire: it reads batches, calls the decision module for each event and
// writes what the module does. It decides nothing.
package benchlink

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
	Line  int
	Field string
	Why   string
}

func (m *MalformedError) Error() string {
	return fmt.Sprintf("line %d, field %s: %s", m.Line, m.Field, m.Why)
}

type pair struct{ name, value []byte }

// reader takes lines apart. Its first complaint stays in bad, and further calls return zeros.
type reader struct {
	in    *bufio.Reader
	line  int
	name  string
	pairs []pair
	long  []byte
	bad   *MalformedError
}

func (r *reader) complain(field, why string) {
	if r.bad == nil {
		r.bad = &MalformedError{r.line, field, why}
	}
}

// next reads a line; io.EOF only where nothing is left.
func (r *reader) next() error {
	text, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], text...)
		for errors.Is(err, bufio.ErrBufferFull) {
			text, err = r.in.ReadSlice('\n')
			r.long = append(r.long, text...)
		}
		text = r.long
	}
	if err != nil && (len(text) == 0 || !errors.Is(err, io.EOF)) {
		return err
	}
	r.line++
	text = bytes.TrimRight(text, "\r\n")
	r.pairs = r.pairs[:0]
	head, rest, more := bytes.Cut(text, []byte{'\t'})
	r.name = string(head) // a short name: does not leave the stack in the comparisons that follow
	for more {
		var name, value []byte
		eq := bytes.IndexByte(rest, '=')
		if eq < 0 {
			r.complain(string(rest), "no '=' between name and value")
			return r.bad
		}
		name, rest = rest[:eq], rest[eq+1:]
		if string(name) == "env" { // a text: runs to the end of the line, tabs and all
			value, more = rest, false
		} else {
			value, rest, more = bytes.Cut(rest, []byte{'\t'})
		}
		r.pairs = append(r.pairs, pair{name, value})
	}
	return nil
}

func (r *reader) find(field string) []byte {
	for i := range r.pairs {
		if string(r.pairs[i].name) == field {
			return r.pairs[i].value
		}
	}
	return nil
}

func (r *reader) text(field string) []byte {
	value := r.find(field)
	if value == nil {
		r.complain(field, "missing in '"+r.name+"'")
	}
	return value
}

func (r *reader) whole(field string, need bool) (uint64, bool) {
	value := r.find(field)
	if value == nil {
		if need {
			r.complain(field, "missing in '"+r.name+"'")
		}
		return 0, false
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		r.complain(field, "not a whole number: "+strconv.Quote(string(value)))
		return 0, false
	}
	return n, true
}

// number reads a plain number; absent is 0 where it is not needed.
func (r *reader) number(field string, need bool) float64 {
	value := r.find(field)
	if value == nil {
		if need {
			r.complain(field, "missing in '"+r.name+"'")
		}
		return 0
	}
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		r.complain(field, "not a number: "+strconv.Quote(string(value)))
		return 0
	}
	return x
}

// span reads a time in milliseconds into nanoseconds.
func (r *reader) span(field string, need bool) int64 {
	return int64(math.Round(r.number(field, need) * 1e6))
}

func (r *reader) yes(field string) bool {
	value := r.find(field)
	switch string(value) {
	case "1":
		return true
	case "0", "":
		return false
	}
	r.complain(field, "neither 0 nor 1: "+strconv.Quote(string(value)))
	return false
}

// writer builds the reply of one batch.
type writer struct{ out []byte }

func (w *writer) start(name, balancer string) {
	w.out = append(w.out, name...)
	w.text("balancer", balancer)
}

func (w *writer) text(field, value string) {
	w.out = append(append(append(w.out, '\t'), field...), '=')
	w.out = append(w.out, value...)
}

func (w *writer) whole(field string, n uint64) {
	w.out = append(append(append(w.out, '\t'), field...), '=')
	w.out = strconv.AppendUint(w.out, n, 10)
}

// span writes nanoseconds as milliseconds, to the microsecond that the wire counts in.
func (w *writer) span(field string, t int64) {
	w.out = append(append(append(w.out, '\t'), field...), '=')
	w.out = strconv.AppendFloat(w.out, float64(t/1000)/1000, 'f', 3, 64)
}

func (w *writer) end() { w.out = append(w.out, '\n') }
