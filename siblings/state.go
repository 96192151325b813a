package siblings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Phase is where a process is in its life.
type Phase string

// The phases of a process, in their order. Their values are read by processes of other versions.
const (
	Starting Phase = "starting" // accepts no clients yet
	Serving  Phase = "serving"
	Draining Phase = "leaving" // accepts no new clients, and ends
)

// Resources is an amount of each limited resource.
type Resources struct {
	ClientConnections   int64 `json:"clients"` // connections to clients
	EndpointConnections int64 `json:"hosts"`   // connections to cache hosts
	MemoryBytes         int64 `json:"memory"`  // bytes
}

// resource names one field of Resources; each resource is divided by itself.
type resource int

const (
	clientConnections resource = iota
	endpointConnections
	memory
)

var resources = [...]resource{clientConnections, endpointConnections, memory}

// get returns the amount of one resource.
func (a Resources) get(r resource) int64 {
	switch r {
	case clientConnections:
		return a.ClientConnections
	case endpointConnections:
		return a.EndpointConnections
	default:
		return a.MemoryBytes
	}
}

// plus returns the sum of two amounts.
func (a Resources) plus(b Resources) Resources {
	return forEachResource(func(r resource) int64 { return a.get(r) + b.get(r) })
}

// forEachResource returns the Resources that compute gives resource by resource.
func forEachResource(compute func(r resource) int64) Resources {
	return Resources{
		ClientConnections:   compute(clientConnections),
		EndpointConnections: compute(endpointConnections),
		MemoryBytes:         compute(memory),
	}
}

// processState is what a process publishes of itself. The keys are read by processes of other versions.
type processState struct {
	PID       int       `json:"pid"`
	StartedAt int64     `json:"since"` // by the machine's clock, nanoseconds over startedAtBase; older versions give Unix nanoseconds
	Phase     Phase     `json:"phase"` // "" where a state can't be read
	Claim     Resources `json:"claim"` // what it may use, and others may not
	Usage     Resources `json:"use"`
	Attempts  float64   `json:"trips"` // attempts handed over, decaying over attemptDecay
}

// startedAtBase is added to the machine's clock, so that a process counts as younger than one of a version that
// publishes Unix time.
const startedAtBase = int64(1) << 62

// stateSize is the size of a published state in bytes, padded with spaces: a shorter state leaves nothing of the one
// before it.
const stateSize = 512

// encodeState returns the state as it is published.
func encodeState(state processState) ([]byte, error) {
	content, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	if len(content) > stateSize {
		return nil, fmt.Errorf("state of %d bytes, more than %d", len(content), stateSize)
	}
	return append(content, bytes.Repeat([]byte(" "), stateSize-len(content))...), nil
}

// decodeState returns a state that another process has published. It never fails, as that process is there whatever it
// published:
//   - Nothing yet: the process has just come and claims nothing.
//   - Half written, or not what a process publishes: its claim can't be told, so it counts as claiming everything. Nothing is raised
//     beside it until it publishes again, and no aim changes, as its phase is unknown.
func decodeState(content []byte, total Resources) processState {
	if len(content) == 0 {
		return processState{Phase: Starting}
	}
	var state processState
	if json.Unmarshal(bytes.TrimSpace(content), &state) != nil || !state.isValid(total) {
		return processState{Claim: total}
	}
	return state
}

// isValid tells whether a process can have published the state: its claim is within the limits, its phase is one of
// ours.
func (s *processState) isValid(total Resources) bool {
	for _, r := range resources {
		if claim := s.Claim.get(r); claim < 0 || claim > total.get(r) {
			return false
		}
	}
	return (s.Phase == Starting || s.Phase == Serving || s.Phase == Draining) && s.Attempts >= 0
}
