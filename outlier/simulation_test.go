package outlier

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
)

const tickInterval = 10 * millisecond

// simulation runs a fleet of detectors and the endpoints that they use on one clock. It simulates attempts and a
// network that loses, delays and duplicates messages.
type simulation struct {
	tb     testing.TB
	random *rand.Rand
	now    int64
	trace  hash.Hash // hash of all messages and attempts; nil: not recorded

	detectors          []*Detector
	alive              []bool // by detector
	disconnected       []bool // by detector: all its attempts fail
	misreportingMember int    // states 200 failures in each of its reports; -1: none

	endpoints      []uint32
	failureRates   []float64 // by endpoint: the probability that an attempt fails
	failedAttempts int       // at endpoints with a failure rate above 0

	inTransit       []delivery
	lossRate        float64
	repeatRate      float64
	messageDelay    int64 // the average
	messagesBlocked bool
	bytesSent       int
}

type delivery struct {
	arrivesAt int64
	to        int
	payload   []byte
}

func newSimulation(tb testing.TB, seed uint64, balancers, endpoints, zones int) *simulation {
	s := &simulation{
		tb:                 tb,
		random:             rand.New(rand.NewPCG(seed, 9)),
		now:                1e12,
		messageDelay:       20 * millisecond,
		misreportingMember: -1,
		alive:              make([]bool, balancers),
		disconnected:       make([]bool, balancers),
		failureRates:       make([]float64, endpoints),
	}
	var members []Member
	for n := range balancers {
		members = append(members, Member{uint32(n + 1), uint16(n % zones)})
		s.alive[n] = true
	}
	for n := range endpoints {
		s.endpoints = append(s.endpoints, uint32(1000+n))
	}
	for _, m := range members {
		detector := New(m, 1)
		detector.SetMembers(members)
		detector.SetEndpoints(s.endpoints)
		s.detectors = append(s.detectors, detector)
	}
	return s
}

// send sends a message to all other detectors, subject to loss, duplication and delay.
func (s *simulation) send(from int, payload []byte) {
	s.bytesSent += len(payload) * (len(s.detectors) - 1)
	s.record("message %d %d %x\n", s.now, from, payload)
	for to := range s.detectors {
		for again := true; again && to != from; again = s.random.Float64() < s.repeatRate {
			if !s.messagesBlocked && s.random.Float64() >= s.lossRate {
				arrivesAt := s.now + s.random.Int64N(s.messageDelay+1) + s.messageDelay/2
				s.inTransit = append(s.inTransit, delivery{arrivesAt, to, payload})
			}
		}
	}
}

func (s *simulation) record(format string, values ...any) {
	if s.trace != nil {
		fmt.Fprintf(s.trace, format, values...)
	}
}

// tick advances the clock by tickInterval: due messages are delivered, each detector ticks and sends its message, and
// each balancer sends the given average number of attempts.
func (s *simulation) tick(attempts float64) {
	s.now += tickInterval
	s.deliver()
	for n, detector := range s.detectors {
		if !s.alive[n] {
			continue
		}
		detector.Tick(s.now)
		if m := detector.NextMessage(s.now); m != nil {
			if size := len(m.Encode()); size > MaxMessageBytes {
				s.tb.Fatalf("message has %d bytes, limit %d", size, MaxMessageBytes)
			}
			if s.misreportingMember == n {
				for i := range m.Reports {
					m.Reports[i].ConsecutiveFailures = 200
				}
			}
			s.send(n, m.Encode())
		}
		for remaining := attempts; remaining > 0; remaining-- {
			if s.random.Float64() < remaining {
				s.attempt(n)
			}
		}
	}
}

func (s *simulation) deliver() {
	later := s.inTransit[:0]
	for _, d := range s.inTransit {
		if d.arrivesAt > s.now {
			later = append(later, d)
			continue
		}
		m, err := DecodeMessage(d.payload)
		if err != nil {
			s.tb.Fatal(err)
		}
		if s.alive[d.to] {
			s.detectors[d.to].HandleMessage(s.now, m)
		}
	}
	s.inTransit = later
}

// attempt sends an attempt of a balancer to a random endpoint, unless it is skipped because of the endpoint's penalty
// or the balancer's own recent failures there.
func (s *simulation) attempt(balancer int) {
	detector, chosen := s.detectors[balancer], s.random.IntN(len(s.endpoints))
	id := s.endpoints[chosen]
	endpoint := detector.endpoints[id]
	if endpoint == nil {
		return
	}
	penalty := detector.Penalty(s.now, id)
	failedLately := endpoint.consecutiveFailures >= 2 && s.now-endpoint.lastFailure < 3000*millisecond
	if s.random.Float64() < penalty || penalty >= 0 && failedLately && s.random.Float64() < 0.9 {
		return
	}
	penalty, ejected := detector.RecordAttempt(s.now, id)
	s.record("attempt %d %d %d %v %t\n", s.now, balancer, id, penalty, ejected)
	if s.random.Float64() >= s.failureRates[chosen] && !s.disconnected[balancer] {
		detector.Observe(s.now, id, Success)
		return
	}
	if s.failureRates[chosen] > 0 {
		s.failedAttempts++
	}
	detector.Observe(s.now, id, Failure)
}

func (s *simulation) run(duration int64, attempts float64) {
	for end := s.now + duration; s.now < end; {
		s.tick(attempts)
	}
}

// ejectedBy returns the number of running balancers that do not use an endpoint because it is ejected.
func (s *simulation) ejectedBy(endpoint int) (count int) {
	for n, detector := range s.detectors {
		if s.alive[n] && detector.Penalty(s.now, s.endpoints[endpoint]) > 0 {
			count++
		}
	}
	return count
}
