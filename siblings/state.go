package siblings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Phase is the lifecycle phase of a process.
type Phase string

// The phases in lifecycle order. Processes of other versions read these values.
const (
	Starting Phase = "starting" // accepts no clients yet
	Serving  Phase = "serving"
	Draining Phase = "leaving" // accepts no new clients and will exit
)

// Resources is an amount of each limited resource.
type Resources struct {
	ClientConnections   int64 `json:"clients"` // number of connections to clients
	EndpointConnections int64 `json:"hosts"`   // number of connections to endpoints
	MemoryBytes         int64 `json:"memory"`
}

// resource identifies a field of Resources. Each resource is divided independently.
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

// forEachResource returns Resources with each amount set to the result of compute.
func forEachResource(compute func(r resource) int64) Resources {
	return Resources{
		ClientConnections:   compute(clientConnections),
		EndpointConnections: compute(endpointConnections),
		MemoryBytes:         compute(memory),
	}
}

// processState is the state that a process publishes. Processes of other versions read the JSON keys.
type processState struct {
	PID       int       `json:"pid"`
	StartedAt int64     `json:"since"` // startedAtBase plus monotonic clock in nanoseconds; Unix nanoseconds in older versions
	Phase     Phase     `json:"phase"` // "" if the state could not be decoded
	Claim     Resources `json:"claim"` // amounts reserved for this process
	Usage     Resources `json:"use"`
	Attempts  float64   `json:"trips"` // attempts sent, decaying with time constant attemptDecay
}

// startedAtBase is added to the machine's monotonic clock, so that a process counts as younger than any process of an
// older version, which publishes Unix time.
const startedAtBase = int64(1) << 62

// stateSize is the size of a published state in bytes. States are padded with spaces to this size, so that a shorter
// state completely overwrites the previous one.
const stateSize = 512

// encodeState returns the state in the published format, padded to stateSize.
func encodeState(state processState) ([]byte, error) {
	content, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	if len(content) > stateSize {
		return nil, fmt.Errorf("encoded state is %d bytes, maximum is %d", len(content), stateSize)
	}
	return append(content, bytes.Repeat([]byte(" "), stateSize-len(content))...), nil
}

// decodeState decodes a state that another process has published. It never fails, because that process is running
// whatever it has published:
//   - Empty: the process has just started and claims nothing.
//   - Partially written or invalid: its claim is unknown, so it counts as claiming all resources. No other process can
//     raise a claim until it publishes a valid state. Its phase is unknown too, so it does not count in the totals that
//     determine target claims.
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

// isValid reports whether the state is plausible: its claim is within the limits and its phase is known.
func (s *processState) isValid(total Resources) bool {
	for _, r := range resources {
		if claim := s.Claim.get(r); claim < 0 || claim > total.get(r) {
			return false
		}
	}
	return (s.Phase == Starting || s.Phase == Serving || s.Phase == Draining) && s.Attempts >= 0
}
