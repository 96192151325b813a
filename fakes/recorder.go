package fakes

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Attempt is one command as a recording server met it.
type Attempt struct {
	Server string
	Verb   string
	Key    string
	ID     string
	Class  string
	Told   time.Duration // the remaining time that it states
	Begun  time.Time     // when its first byte was read
	Whole  time.Time     // when its last byte was read
	Ran    bool          // it had its effect
}

// Response is what a recording server does with an attempt that is whole.
type Response struct {
	After time.Duration // waits so long first
	Text  string        // then writes this; empty: nothing
	Hang  bool          // answers nothing, until the other side ends the connection
	Reset bool          // resets the connection in place of or behind the text
}

// Recorder is a cache server that notes each attempt with its times and responds as a function says.
type Recorder struct {
	Name    string
	Address string

	respond  func(Attempt) Response
	listener net.Listener
	mu       sync.Mutex
	attempts []Attempt
	conns    map[net.Conn]bool
	running  sync.WaitGroup
}

// NewRecorder starts one. respond is called for each whole command, from many goroutines.
func NewRecorder(name string, respond func(Attempt) Response) (*Recorder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Recorder{Name: name, Address: l.Addr().String(), respond: respond, listener: l, conns: map[net.Conn]bool{}}
	r.running.Go(func() { r.serve(l) })
	return r, nil
}

func (r *Recorder) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		r.running.Go(func() {
			r.converse(c)
			c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		})
	}
}

// chunk is what one read brought, and when.
type chunk struct {
	bytes []byte
	at    time.Time
}

// converse takes commands off a connection in turn. The bytes are read by a goroutine of their own, so that times are those of the
// reads even while a response is awaited.
func (r *Recorder) converse(c net.Conn) {
	chunks, ended := make(chan chunk, 1024), make(chan struct{})
	r.running.Go(func() {
		defer close(ended)
		defer close(chunks)
		for buffer := make([]byte, 64<<10); ; {
			n, err := c.Read(buffer)
			if n > 0 {
				chunks <- chunk{append([]byte(nil), buffer[:n]...), time.Now()}
			}
			if err != nil {
				return
			}
		}
	})
	var came []byte
	var begun time.Time
	for piece := range chunks {
		if len(came) == 0 {
			begun = piece.at
		}
		came = append(came, piece.bytes...)
		for len(came) > 0 {
			complete, words, _, rest, err := redcon.ReadNextCommand(came, nil)
			if err != nil || len(words) > 0 && len(words) < 4 {
				io.WriteString(c, "-SYNTAX\r\n")
				return
			}
			if !complete {
				break
			}
			attempt := r.noteWords(words, begun, piece.at)
			came, begun = rest, piece.at
			if !r.give(c, attempt, ended) {
				return
			}
		}
	}
}

// noteWords reads an attempt's words and keeps it.
func (r *Recorder) noteWords(words [][]byte, begun, whole time.Time) Attempt {
	a := Attempt{Server: r.Name, Verb: string(words[0]), Key: string(words[1]), ID: string(words[2]), Begun: begun, Whole: whole}
	for _, pair := range strings.Split(string(words[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			a.Class = value
		case "d":
			ms, _ := strconv.ParseFloat(value, 64)
			a.Told = time.Duration(ms * 1e6)
		}
	}
	r.Note(a)
	return a
}

// Note keeps an attempt as if it had come.
func (r *Recorder) Note(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// give responds; false: the connection is over.
func (r *Recorder) give(c net.Conn, attempt Attempt, ended <-chan struct{}) bool {
	response := r.respond(attempt)
	switch {
	case response.Hang:
		<-ended
		return false
	case response.After > 0:
		timer := time.NewTimer(response.After)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ended:
			return false
		}
	}
	if response.Text != "" {
		if strings.HasPrefix(response.Text, "*") {
			r.ran(attempt)
		}
		io.WriteString(c, response.Text)
	}
	if response.Reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	return !response.Reset
}

// ran notes that an attempt had its effect.
func (r *Recorder) ran(attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := len(r.attempts) - 1; n >= 0; n-- {
		if a := &r.attempts[n]; a.ID == attempt.ID && a.Whole.Equal(attempt.Whole) {
			a.Ran = true
			return
		}
	}
}

// Attempts is a copy of what came so far.
func (r *Recorder) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Attempt(nil), r.attempts...)
}

// Close ends it and waits for what it began.
func (r *Recorder) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

// ValueFor is the value that a server makes for one request: no other's will do.
func ValueFor(key, id string) string { return key + "@" + id }

// Serving responds at once with the request's value.
func Serving(a Attempt) Response { return Response{Text: ValueReply(ValueFor(a.Key, a.ID))} }

// Busy responds that the server is full.
func Busy(Attempt) Response { return Response{Text: "-BUSY\r\n"} }

// Hanging responds nothing.
func Hanging(Attempt) Response { return Response{Hang: true} }
