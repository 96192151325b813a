package policy

import (
	"errors"
	"fmt"
	"math"
)

// Saving and restoring learned state, so that a process keeps the statistics of its predecessor across an upgrade or a
// restart. No decisions are made here. The state excludes individual requests and attempts, so a retry is never
// based on it. It is stored as CBOR arrays: the order of the fields is the format and must not change.

const (
	// maxEndpoints is the largest number of endpoints in a valid state. The limit matters because a file may be
	// damaged. SaveState also uses it as the index that means "none": stored indices are unsigned, so noEndpoint does
	// not fit.
	maxEndpoints = 1 << 16

	// maxMachineTypes is the largest number of machine types in a valid state.
	maxMachineTypes = 1 << 12
)

// Sum is a stored decaying sum. Age is the time from its last update to State.ActivityTime, by the activity clock.
type Sum struct {
	_     struct{} `cbor:",toarray"`
	Value float32
	Age   int64
}

// MachineTypeState holds the stored statistics over the endpoints of one machine type, or over all endpoints.
type MachineTypeState struct {
	_                             struct{} `cbor:",toarray"`
	Answers, AnswerTime, Rejected Sum
	Weight                        float64
}

// EndpointState holds the stored statistics of one endpoint, which is identified by the hash of its address.
type EndpointState struct {
	_                                                 struct{} `cbor:",toarray"`
	Hash                                              uint64
	StartedAt                                         int64
	InFlight, Attempts, Successes, Failures, Rejected Sum
	RetryTokens                                       float32
	LastUnresponsiveAt                                int64
	ServedRate, Strain                                float32
}

// State is the learned state of a balancer. Times are by the clock of the process that saved it; that clock showed Now
// when the state was saved. Ages are by its activity clock, which showed ActivityTime. EndpointState.StartedAt is
// restored as it is, the other times are converted to the clock of the process that restores them.
type State struct {
	_                                                               struct{} `cbor:",toarray"`
	Now, StartedAt, ActivityTime                                    int64
	ActivityRate                                                    float64
	InFlight, Successes, Failures, WarmAnswers                      Sum
	Reads, ReadsMissed, ReadsFailed, Timely, LateOrFailed           Sum
	Arrivals, RejectedOverload, CacheMisses, Answers, AnswerTime    Sum
	ConnectFailures, Overdue                                        Sum
	RetryTokens, BaseLatency, Admitted, OriginLimit, PeakThroughput float64
	PeakAt                                                          int64
	Fleetwide                                                       MachineTypeState
	MachineTypes                                                    []MachineTypeState
	Tenants                                                         []Sum
	Endpoints                                                       []EndpointState
	Keys                                                            []uint64 // recently answered keys
	KeyEndpoints                                                    []uint32 // for each of Keys, the index in Endpoints of the endpoint that answered it
}

// sums returns the sums that are not per endpoint or machine type, in the order of State.sums.
func (b *Balancer) sums() [15]*sum {
	return [15]*sum{
		&b.outcomes.successes, &b.outcomes.failures, &b.warmThroughput.answers,
		&b.misses.reads, &b.misses.missed, &b.misses.failed, &b.quality.timely, &b.quality.lateOrFailed,
		&b.admission.arrivals, &b.admission.rejectedOverload, &b.admission.cacheMisses, &b.admission.answers, &b.admission.answerTime,
		&b.connectFailures, &b.overdue,
	}
}

// sums returns the stored sums that are not per endpoint or machine type, in the order of Balancer.sums.
func (s *State) sums() [15]*Sum {
	return [15]*Sum{
		&s.Successes, &s.Failures, &s.WarmAnswers,
		&s.Reads, &s.ReadsMissed, &s.ReadsFailed, &s.Timely, &s.LateOrFailed,
		&s.Arrivals, &s.RejectedOverload, &s.CacheMisses, &s.Answers, &s.AnswerTime,
		&s.ConnectFailures, &s.Overdue,
	}
}

func (b *Balancer) encodeSum(s sum) Sum {
	return Sum{Value: float32(max(0, s.Value)), Age: max(0, b.clock.activityTime-s.UpdatedAt)}
}

func (b *Balancer) decodeSum(s Sum) sum {
	return sum{Value: float64(s.Value), UpdatedAt: b.clock.activityTime - s.Age}
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
		Hash:               e.hash,
		StartedAt:          e.slowStart.startedAt,
		InFlight:           b.encodeSum(sum(e.load.average)),
		Attempts:           b.encodeSum(e.attempts),
		Successes:          b.encodeSum(e.outlier.outcomes.successes),
		Failures:           b.encodeSum(e.outlier.outcomes.failures),
		Rejected:           b.encodeSum(e.rejected),
		RetryTokens:        float32(e.retries.tokens),
		LastUnresponsiveAt: e.outlier.lastUnresponsiveAt,
		ServedRate:         float32(e.report.servedRate),
		Strain:             float32(e.report.strain),
	}
}

// decodeEndpoint restores the statistics of an endpoint. toLocalTime converts a time of the previous process to this
// process's clock. Slow-start tokens are not restored, because the previous process may still spend them.
func (b *Balancer) decodeEndpoint(now int64, e *endpointState, stored *EndpointState, toLocalTime func(int64) int64) {
	e.slowStart.startedAt = stored.StartedAt // The list may be older than the state.
	e.load.average = average(b.decodeSum(stored.InFlight))
	e.attempts = b.decodeSum(stored.Attempts)
	e.outlier.outcomes.successes = b.decodeSum(stored.Successes)
	e.outlier.outcomes.failures = b.decodeSum(stored.Failures)
	e.rejected = b.decodeSum(stored.Rejected)
	e.retries.tokens = float64(stored.RetryTokens)
	e.report = loadReport{servedRate: float64(stored.ServedRate), strain: float64(stored.Strain)}
	e.outlier.lastUnresponsiveAt = 0
	if stored.LastUnresponsiveAt > 0 {
		e.outlier.lastUnresponsiveAt = toLocalTime(stored.LastUnresponsiveAt)
	}
	e.slowStart.tokens, e.slowStart.updatedAt = 0, now
}

// SaveState stores the learned state in state, whose slices are reused.
func (b *Balancer) SaveState(now int64, state *State) {
	b.advanceClock(now)
	endpoints, keys, keyEndpoints := state.Endpoints[:0], state.Keys[:0], state.KeyEndpoints[:0]
	machineTypes, tenants := state.MachineTypes[:0], state.Tenants[:0]
	*state = State{
		Now:            now,
		StartedAt:      b.clock.startedAt,
		ActivityTime:   b.clock.activityTime,
		ActivityRate:   b.clock.rate,
		InFlight:       b.encodeSum(sum(b.load.average)),
		RetryTokens:    b.retries.tokens,
		BaseLatency:    b.admission.baseLatency,
		Admitted:       b.quotas.AdmittedFraction(),
		OriginLimit:    b.originReads.limit,
		PeakThroughput: b.warmThroughput.peak,
		PeakAt:         b.warmThroughput.peakAt,
		Fleetwide:      b.encodeMachineType(&b.fleetwide),
	}
	for n, s := range b.sums() {
		*state.sums()[n] = b.encodeSum(*s)
	}
	for n := range b.machineTypes {
		machineTypes = append(machineTypes, b.encodeMachineType(&b.machineTypes[n]))
	}
	for _, requests := range b.quotas.RequestCounts() {
		tenants = append(tenants, b.encodeSum(requests))
	}
	storedIndex := make([]uint32, 0, len(b.endpoints))
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if !endpoint.isKnown() || endpoint.health == Removed {
			storedIndex = append(storedIndex, maxEndpoints)
			continue
		}
		storedIndex = append(storedIndex, uint32(len(endpoints)))
		endpoints = append(endpoints, b.encodeEndpoint(endpoint))
	}
	for _, record := range b.recentKeys {
		if record.key != 0 && record.endpoint >= 0 && record.endpoint < len(storedIndex) && storedIndex[record.endpoint] != maxEndpoints {
			keys, keyEndpoints = append(keys, record.key), append(keyEndpoints, storedIndex[record.endpoint])
		}
	}
	state.Endpoints, state.Keys, state.KeyEndpoints, state.MachineTypes, state.Tenants = endpoints, keys, keyEndpoints, machineTypes, tenants
}

// errMalformedState is returned for a state with a value outside the range that RestoreState relies on.
var errMalformedState = errors.New("malformed balancer state")

// areFiniteNonNegative reports whether all values are finite and not negative.
func areFiniteNonNegative(values ...float64) bool {
	for _, x := range values {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return false
		}
	}
	return true
}

func (s Sum) isValid() bool { return areFiniteNonNegative(float64(s.Value)) && s.Age >= 0 }

func (m MachineTypeState) isValid() bool {
	return m.Answers.isValid() && m.AnswerTime.isValid() && m.Rejected.isValid() && areFiniteNonNegative(m.Weight)
}

func (e *EndpointState) isValid(now int64) bool {
	for _, s := range []Sum{e.InFlight, e.Attempts, e.Successes, e.Failures, e.Rejected} {
		if !s.isValid() {
			return false
		}
	}
	// A ServedRate of notReported (-1) is valid.
	return e.LastUnresponsiveAt <= now && areFiniteNonNegative(float64(e.RetryTokens), float64(e.Strain), float64(e.ServedRate)+1) &&
		e.RetryTokens <= maxRetryTokens
}

// Check returns an error if a value, a length or an index is outside the range that RestoreState relies on: a damaged
// file must not cause an index out of range or decisions based on impossible values.
func (s *State) Check() error {
	switch {
	case !s.hasValidScalars() || !s.hasValidParts():
		return errMalformedState
	case len(s.Endpoints) > maxEndpoints, len(s.MachineTypes) > maxMachineTypes, len(s.Keys) > recentKeySlots, len(s.Keys) != len(s.KeyEndpoints):
		return fmt.Errorf("%w: %d endpoints, %d machine types, %d keys, %d key endpoints", errMalformedState, len(s.Endpoints), len(s.MachineTypes), len(s.Keys), len(s.KeyEndpoints))
	}
	for _, index := range s.KeyEndpoints {
		if int(index) >= len(s.Endpoints) {
			return errMalformedState
		}
	}
	return nil
}

// hasValidScalars reports whether the single numbers and times are within their ranges.
func (s *State) hasValidScalars() bool {
	areInRange := s.ActivityRate > 0 && s.ActivityRate <= 1 && s.BaseLatency > 0 && s.Admitted <= 1 && s.RetryTokens <= maxRetryTokens
	areTimes := s.ActivityTime >= 0 && s.StartedAt > 0 && s.StartedAt <= s.Now && s.PeakAt <= s.Now
	return areInRange && areTimes &&
		areFiniteNonNegative(s.ActivityRate, s.RetryTokens, s.BaseLatency, s.Admitted, s.OriginLimit, s.PeakThroughput)
}

// hasValidParts reports whether the sums and the states of tenants, machine types and endpoints are valid.
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

// RestoreState restores a state that was saved age nanoseconds ago. The Balancer must have its endpoint list and must
// not have handled any request, and state must have passed Check. It returns the number of endpoints that were
// restored.
func (b *Balancer) RestoreState(now int64, state *State, age int64) (restored int) {
	clockOffset := now - age - state.Now // not 0 if the system clock was set since the state was saved
	toLocalTime := func(then int64) int64 { return min(now, then+clockOffset) }
	b.clock = activityClock{startedAt: toLocalTime(state.StartedAt), now: now, activityTime: state.ActivityTime, rate: state.ActivityRate}
	b.load.average = average(b.decodeSum(state.InFlight))
	b.retries.tokens, b.admission.baseLatency, b.originReads.limit = state.RetryTokens, state.BaseLatency, state.OriginLimit
	b.warmThroughput.peak, b.warmThroughput.peakAt = state.PeakThroughput, toLocalTime(state.PeakAt)
	for n, s := range b.sums() {
		*s = b.decodeSum(*state.sums()[n])
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
	indexes, restored := b.restoreEndpoints(now, state, toLocalTime)
	for n, key := range state.Keys {
		if index := indexes[state.KeyEndpoints[n]]; index != noEndpoint {
			b.recentKeys[key%recentKeySlots] = keyRecord{key: key, endpoint: index}
		}
	}
	b.clock.activityTime += int64(float64(age) * state.ActivityRate) // Statistics decay over the gap as if the process had kept running.
	b.BeginEndpointUpdate(IncrementalList)
	b.CommitEndpointUpdate(now)
	return restored
}

// restoreEndpoints restores the statistics of the endpoints that are still in the list. It returns the current index of
// each endpoint of the state: noEndpoint for one that has left the list, or that has restarted since, because its
// statistics no longer apply. It also returns the number of endpoints that were restored. A hash of 0 marks a free
// index and matches no endpoint.
func (b *Balancer) restoreEndpoints(now int64, state *State, toLocalTime func(int64) int64) (indexes []int, restored int) {
	byHash := make(map[uint64]int, len(b.endpoints))
	for index := range b.endpoints {
		byHash[b.endpoints[index].hash] = index
	}
	indexes = make([]int, len(state.Endpoints))
	for n := range state.Endpoints {
		stored := &state.Endpoints[n]
		index, isListed := byHash[stored.Hash]
		if !isListed || stored.Hash == 0 || stored.StartedAt < b.endpoints[index].slowStart.startedAt {
			indexes[n] = noEndpoint
			continue
		}
		indexes[n] = index
		restored++
		b.decodeEndpoint(now, &b.endpoints[index], stored, toLocalTime)
	}
	return indexes, restored
}
