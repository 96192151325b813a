package policy

import (
	"errors"
	"fmt"
	"math"
)

// Learned state out and in, so that a process that follows another one over an upgrade or a restart does not begin with
// nothing known. Nothing is decided here. Requests and attempts are not part of it, and so nothing in it can prove that
// an attempt may be repeated. State is stored as CBOR arrays: the order of its fields is the format, and may not
// change.

const (
	// maxEndpoints bounds the endpoints of a state, as a file may be damaged. As a place it stands for none.
	maxEndpoints = 1 << 16

	// maxMachineTypes bounds the machine types of a state.
	maxMachineTypes = 1 << 12
)

// Sum is one that decays: its value, and how long before State.Evidence, by the clock of evidence, it was brought up to
// date.
type Sum struct {
	_     struct{} `cbor:",toarray"`
	Value float32
	Age   int64
}

// MachineTypeState is what was learned of the endpoints of one machine type, or of all.
type MachineTypeState struct {
	_                             struct{} `cbor:",toarray"`
	Answers, AnswerTime, Rejected Sum
	Weight                        float64
}

// EndpointState is what was learned of an endpoint. The hash of its address identifies it.
type EndpointState struct {
	_                                                 struct{} `cbor:",toarray"`
	Hash                                              uint64
	StartedAt                                         int64
	InFlight, Attempts, Successes, Failures, Rejected Sum
	RetryTokens                                       float32
	ConnectFailedAt                                   int64
	ServedRate, Strain                                float32
}

// State is what a balancer has learned. Times are those of its clock, which read Now; ages are those of its clock of
// evidence, which read Evidence.
type State struct {
	_                                                               struct{} `cbor:",toarray"`
	Now, StartedAt, Evidence                                        int64
	Pace                                                            float64
	InFlight, Successes, Failures, WarmAnswers                      Sum
	Reads, ReadsMissed, ReadsFailed, Timely, Late                   Sum
	Arrivals, Shed, CacheMisses, Answers, AnswerTime                Sum
	ConnectFailures, Overdue                                        Sum
	RetryTokens, BaseLatency, Admitted, OriginLimit, PeakThroughput float64
	PeakAt                                                          int64
	Fleetwide                                                       MachineTypeState
	MachineTypes                                                    []MachineTypeState
	Tenants                                                         []Sum
	Endpoints                                                       []EndpointState
	Keys                                                            []uint64 // answered lately
	Places                                                          []uint32 // and by which of Endpoints
}

// sums returns the sums that belong to no endpoint or machine type, in the order of State.sums.
func (b *Balancer) sums() [15]*sum {
	return [15]*sum{
		&b.outcomes.successes, &b.outcomes.failures, &b.warmThroughput.answers,
		&b.misses.reads, &b.misses.missed, &b.misses.failed, &b.quality.timely, &b.quality.late,
		&b.admission.arrivals, &b.admission.shed, &b.admission.cacheMisses, &b.admission.answers, &b.admission.answerTime,
		&b.connectFailures, &b.overdue,
	}
}

// sums returns the sums that belong to no endpoint or machine type.
func (s *State) sums() [15]*Sum {
	return [15]*Sum{
		&s.Successes, &s.Failures, &s.WarmAnswers,
		&s.Reads, &s.ReadsMissed, &s.ReadsFailed, &s.Timely, &s.Late,
		&s.Arrivals, &s.Shed, &s.CacheMisses, &s.Answers, &s.AnswerTime,
		&s.ConnectFailures, &s.Overdue,
	}
}

func (b *Balancer) encodeSum(s sum) Sum {
	return Sum{Value: float32(max(0, s.Value)), Age: max(0, b.clock.evidence-s.UpdatedAt)}
}

func (b *Balancer) decodeSum(s Sum) sum {
	return sum{Value: float64(s.Value), UpdatedAt: b.clock.evidence - s.Age}
}

func (b *Balancer) encodeMachineType(m *machineType) MachineTypeState {
	return MachineTypeState{
		Answers:    b.encodeSum(m.latency.answers),
		AnswerTime: b.encodeSum(m.latency.time),
		Rejected:   b.encodeSum(m.latency.rejected),
		Weight:     m.weight,
	}
}

func (b *Balancer) decodeMachineType(m MachineTypeState) machineType {
	latency := latencyRecord{answers: b.decodeSum(m.Answers), time: b.decodeSum(m.AnswerTime), rejected: b.decodeSum(m.Rejected)}
	return machineType{latency: latency, weight: m.Weight}
}

func (b *Balancer) encodeEndpoint(e *endpointState) EndpointState {
	return EndpointState{
		Hash:            e.hash,
		StartedAt:       e.slowStart.startedAt,
		InFlight:        b.encodeSum(sum(e.load.average)),
		Attempts:        b.encodeSum(e.attempts),
		Successes:       b.encodeSum(e.outlier.outcomes.successes),
		Failures:        b.encodeSum(e.outlier.outcomes.failures),
		Rejected:        b.encodeSum(e.rejected),
		RetryTokens:     float32(e.retries.tokens),
		ConnectFailedAt: e.outlier.silentSince,
		ServedRate:      float32(e.report.servedRate),
		Strain:          float32(e.report.strain),
	}
}

// decodeEndpoint restores what was learned of an endpoint. at turns a time of the earlier process into one of this
// one's clock. Slow-start tokens are not restored: the process that saved them up may spend them.
func (b *Balancer) decodeEndpoint(now int64, e *endpointState, from *EndpointState, at func(int64) int64) {
	e.slowStart.startedAt = from.StartedAt // The list may be older.
	e.load.average = average(b.decodeSum(from.InFlight))
	e.attempts = b.decodeSum(from.Attempts)
	e.outlier.outcomes.successes = b.decodeSum(from.Successes)
	e.outlier.outcomes.failures = b.decodeSum(from.Failures)
	e.rejected = b.decodeSum(from.Rejected)
	e.retries.tokens = float64(from.RetryTokens)
	e.report = loadReport{servedRate: float64(from.ServedRate), strain: float64(from.Strain)}
	e.outlier.silentSince = 0
	if from.ConnectFailedAt > 0 {
		e.outlier.silentSince = at(from.ConnectFailedAt)
	}
	e.slowStart.tokens, e.slowStart.updatedAt = 0, now
}

// SaveState puts what the module has learned into state, whose slices are reused.
func (b *Balancer) SaveState(now int64, state *State) {
	b.advanceClock(now)
	endpoints, keys, places := state.Endpoints[:0], state.Keys[:0], state.Places[:0]
	machineTypes, tenants := state.MachineTypes[:0], state.Tenants[:0]
	*state = State{
		Now:            now,
		StartedAt:      b.clock.startedAt,
		Evidence:       b.clock.evidence,
		Pace:           b.clock.pace,
		InFlight:       b.encodeSum(sum(b.load.average)),
		RetryTokens:    b.retries.tokens,
		BaseLatency:    b.admission.baseLatency,
		Admitted:       b.quotas.AdmittedFraction(),
		OriginLimit:    b.originReads.limit,
		PeakThroughput: b.warmThroughput.peak,
		PeakAt:         b.warmThroughput.peakAt,
		Fleetwide:      b.encodeMachineType(&b.fleetwide),
	}
	for n, own := range b.sums() {
		*state.sums()[n] = b.encodeSum(*own)
	}
	for n := range b.machineTypes {
		machineTypes = append(machineTypes, b.encodeMachineType(&b.machineTypes[n]))
	}
	for _, requests := range b.quotas.RequestCounts() {
		tenants = append(tenants, b.encodeSum(requests))
	}
	placed := make([]uint32, 0, len(b.endpoints))
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if !endpoint.isKnown() || endpoint.health == Removed {
			placed = append(placed, maxEndpoints)
			continue
		}
		placed = append(placed, uint32(len(endpoints)))
		endpoints = append(endpoints, b.encodeEndpoint(endpoint))
	}
	for _, record := range b.recentKeys {
		if record.key != 0 && record.endpoint >= 0 && record.endpoint < len(placed) && placed[record.endpoint] != maxEndpoints {
			keys, places = append(keys, record.key), append(places, placed[record.endpoint])
		}
	}
	state.Endpoints, state.Keys, state.Places, state.MachineTypes, state.Tenants = endpoints, keys, places, machineTypes, tenants
}

// errMalformedState is returned for a state that SaveState cannot have written.
var errMalformedState = errors.New("not what a module writes")

// areFinite tells whether all values are finite and none is under 0.
func areFinite(values ...float64) bool {
	for _, x := range values {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return false
		}
	}
	return true
}

func (s Sum) isValid() bool { return areFinite(float64(s.Value)) && s.Age >= 0 }

func (m MachineTypeState) isValid() bool {
	return m.Answers.isValid() && m.AnswerTime.isValid() && m.Rejected.isValid() && areFinite(m.Weight)
}

func (e *EndpointState) isValid(now int64) bool {
	for _, s := range []Sum{e.InFlight, e.Attempts, e.Successes, e.Failures, e.Rejected} {
		if !s.isValid() {
			return false
		}
	}
	// A rate of notReported is allowed.
	return e.ConnectFailedAt <= now && areFinite(float64(e.RetryTokens), float64(e.Strain), float64(e.ServedRate)+1) &&
		e.RetryTokens <= maxRetryTokens
}

// Check returns an error unless SaveState can have written the state. RestoreState relies on it: a damaged file must
// not lead the module out of bounds, nor to decisions by figures that cannot be.
func (s *State) Check() error {
	switch {
	case !s.hasValidScalars() || !s.hasValidParts():
		return errMalformedState
	case len(s.Endpoints) > maxEndpoints, len(s.MachineTypes) > maxMachineTypes, len(s.Keys) > maxRecentKeys, len(s.Keys) != len(s.Places):
		return fmt.Errorf("%w: %d endpoints, %d machine types, %d keys, %d places", errMalformedState, len(s.Endpoints), len(s.MachineTypes), len(s.Keys), len(s.Places))
	}
	for _, place := range s.Places {
		if int(place) >= len(s.Endpoints) {
			return errMalformedState
		}
	}
	return nil
}

// hasValidScalars checks the figures that are no sums.
func (s *State) hasValidScalars() bool {
	areInRange := s.Pace > 0 && s.Pace <= 1 && s.BaseLatency > 0 && s.Admitted <= 1 && s.RetryTokens <= maxRetryTokens
	areTimes := s.Evidence >= 0 && s.StartedAt > 0 && s.StartedAt <= s.Now && s.PeakAt <= s.Now
	return areInRange && areTimes &&
		areFinite(s.Pace, s.RetryTokens, s.BaseLatency, s.Admitted, s.OriginLimit, s.PeakThroughput)
}

// hasValidParts checks the sums and what is known of tenants, machine types and endpoints.
func (s *State) hasValidParts() bool {
	isValid := s.InFlight.isValid() && s.Fleetwide.isValid()
	for _, sum := range s.sums() {
		isValid = isValid && sum.isValid()
	}
	for _, m := range s.MachineTypes {
		isValid = isValid && m.isValid()
	}
	for _, requests := range s.Tenants {
		isValid = isValid && requests.isValid()
	}
	for n := range s.Endpoints {
		isValid = isValid && s.Endpoints[n].isValid(s.Now)
	}
	return isValid
}

// RestoreState restores what was learned, age nanoseconds ago, into a module that has just been told its list and has
// decided nothing. state has been checked. It returns how many endpoints of the list were known.
func (b *Balancer) RestoreState(now int64, state *State, age int64) (known int) {
	shift := now - age - state.Now // Not 0 where the system's clock was set between the two processes.
	at := func(then int64) int64 { return min(now, then+shift) }
	b.clock = evidenceClock{startedAt: at(state.StartedAt), now: now, evidence: state.Evidence, pace: state.Pace}
	b.load.average = average(b.decodeSum(state.InFlight))
	b.retries.tokens, b.admission.baseLatency, b.originReads.limit = state.RetryTokens, state.BaseLatency, state.OriginLimit
	b.warmThroughput.peak, b.warmThroughput.peakAt = state.PeakThroughput, at(state.PeakAt)
	for n, own := range b.sums() {
		*own = b.decodeSum(*state.sums()[n])
	}
	b.fleetwide = b.decodeMachineType(state.Fleetwide)
	for n := range min(len(b.machineTypes), len(state.MachineTypes)) {
		b.machineTypes[n] = b.decodeMachineType(state.MachineTypes[n])
	}
	requests := make([]sum, len(state.Tenants))
	for tenant := range state.Tenants {
		requests[tenant] = b.decodeSum(state.Tenants[tenant])
	}
	b.quotas.Restore(state.Admitted, requests)
	places, known := b.restoreEndpoints(now, state, at)
	for n, key := range state.Keys {
		if place := places[state.Places[n]]; place != noEndpoint {
			b.recentKeys[key%maxRecentKeys] = keyRecord{key: key, endpoint: place}
		}
	}
	b.clock.evidence += int64(float64(age) * state.Pace) // All that was learned fades over the gap as it would have.
	b.BeginEndpointUpdate(IncrementalList)
	b.CommitEndpointUpdate(now)
	return known
}

// restoreEndpoints restores what was learned of the endpoints that are in the list, and returns the index here of each
// endpoint of the state: noEndpoint for one that has left the list, or that has restarted since, as nothing that was
// learned of it holds.
func (b *Balancer) restoreEndpoints(now int64, state *State, at func(int64) int64) (places []int, known int) {
	byHash := make(map[uint64]int, len(b.endpoints))
	for index := range b.endpoints {
		byHash[b.endpoints[index].hash] = index
	}
	places = make([]int, len(state.Endpoints))
	for n := range state.Endpoints {
		from := &state.Endpoints[n]
		index, isListed := byHash[from.Hash]
		if !isListed || from.Hash == 0 || from.StartedAt < b.endpoints[index].slowStart.startedAt {
			places[n] = noEndpoint
			continue
		}
		places[n] = index
		known++
		b.decodeEndpoint(now, &b.endpoints[index], from, at)
	}
	return places, known
}
