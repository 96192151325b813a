package outlier

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
)

const tickInterval = 10 * millisecond

// simulation is a fleet of detectors and the endpoints they use, under one clock: attempts, and a network that loses,
// delays and repeats messages.
type simulation struct {
	tb     testing.TB
	random *rand.Rand
	now    int64
	trace  hash.Hash // of all messages and attempts; nil: none is kept

	detectors          []*Detector
	alive              []bool // by detector
	disconnected       []bool // by detector: all its attempts fail
	misreportingMember int    // reports 200 failures of whatever it reports; -1: nobody does

	endpoints      []uint32
	failureRates   []float64 // by endpoint: the chance that an attempt fails
	failedAttempts int       // at endpoints that fail

	inTransit       []delivery
	lossRate        float64
	repeatRate      float64
	messageDelay    int64 // in the mean
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

// send puts a message on its way to all others.
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

// tick lets tickInterval pass: messages arrive, each detector ticks and sends, and each balancer sends so many
// attempts.
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
				s.tb.Fatalf("a message has %d bytes", size)
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

// attempt has a balancer send to an endpoint by chance, unless a penalty or its own failures there speak against it.
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

// ejectedBy counts the balancers that do not use an endpoint on the fleet's evidence.
func (s *simulation) ejectedBy(endpoint int) (count int) {
	for n, detector := range s.detectors {
		if s.alive[n] && detector.Penalty(s.now, s.endpoints[endpoint]) > 0 {
			count++
		}
	}
	return count
}
