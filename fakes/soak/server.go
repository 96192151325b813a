package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"hollylever/fakes"
)

// server is a cache server whose behaviour events change.
type server struct {
	*fakes.Recorder

	mu       sync.Mutex
	chance   *rand.Rand
	deadline time.Duration
	modes    map[Kind]int // how many events of a kind hold now
	drains   []drain
}

// stalledValue is the length in bytes of a value of which a server gives the head alone.
const stalledValue = 500 << 10

// drain is a span in which discovery said that the server drains; a zero end: it still does.
type drain struct{ from, to time.Time }

func newServer(name string, seed uint64, deadline time.Duration) (*server, error) {
	s := &server{chance: rand.New(rand.NewPCG(seed, 46)), deadline: deadline, modes: map[Kind]int{}}
	var err error
	s.Recorder, err = fakes.NewRecorder(name, s.respond)
	return s, err
}

// respond serves after a few milliseconds, and otherwise as the events say.
func (s *server) respond(a fakes.Attempt) fakes.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := fakes.Serving(a)
	response.After = time.Duration(s.chance.ExpFloat64() * float64(8*time.Millisecond))
	switch {
	case s.modes[Hang] > 0:
		return fakes.Response{Hang: true}
	case s.modes[Busy] > 0:
		return fakes.Busy(a)
	case s.modes[Reset] > 0 && s.chance.IntN(2) == 0:
		return fakes.Response{After: response.After, Reset: true}
	case s.modes[Stall] > 0:
		return fakes.Response{After: response.After, Text: fakes.ValueReplyStart(stalledValue)}
	case s.modes[Slow] > 0:
		response.After = time.Duration((0.2 + s.chance.Float64()) * float64(s.deadline))
	}
	return response
}

// mode begins or ends one event's hold on the server.
func (s *server) mode(kind Kind, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[kind] += by
}

// drain notes that discovery says so from now on, or no longer.
func (s *server) drain(drains bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if drains {
		s.drains = append(s.drains, drain{from: time.Now()})
	} else {
		s.drains[len(s.drains)-1].to = time.Now()
	}
}

// drainedAt is since when the server drains at a time, zero if it does not.
func (s *server) drainedAt(at time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.drains {
		if at.After(d.from) && (d.to.IsZero() || at.Before(d.to)) {
			return d.from
		}
	}
	return time.Time{}
}
