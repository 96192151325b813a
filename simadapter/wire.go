package simadapter

import "hollylever/policy"

// The wire's words that have a term of the module's, in one place.
var (
	outcomes = map[uint64]policy.Outcome{
		10: policy.OK,
		20: policy.Errored,
		30: policy.Rejected,
		40: policy.TimedOut,
		50: policy.ConnectFailed,
		60: policy.Reset,
		70: policy.Cancelled,
		80: policy.NotSent,
		90: policy.CacheMiss,
	}
	updateKinds = map[string]policy.UpdateKind{
		"INCREMENTAL": policy.IncrementalList,
		"FULL":        policy.FullList,
		"SAVED":       policy.SavedList,
		"FAILED":      policy.UpdateFailed,
	}
	healths = map[string]policy.Health{
		"ready":    policy.Ready,
		"draining": policy.Draining,
		"gone":     policy.Removed,
	}
)

// Lines that stand round events.
const (
	batchStart = "sync"
	batchEnd   = "commit"
	replyEnd   = "ack"
	listEntry  = "row"
)

// handlers take an event of a known instance, by its name on the wire. "init" begins an instance and stands apart.
var handlers = map[string]func(*instance, *reader, int64){
	"members":        (*instance).handleEndpointUpdate,
	"ask":            (*instance).handleRequest,
	"wake":           (*instance).handleTimer,
	"check_result":   (*instance).handleProbeResult,
	"first_byte":     (*instance).handleResponseStarted,
	"neighbour_says": (*instance).handlePeerMessage,
	"completed":      (*instance).handleAttemptEnded,
	"aborted":        (*instance).handleClientCancelled,
}

// Events that are not an instance's own.
const (
	eventInit = "init" // an instance begins
	eventDown = "down" // and ends, with all that it held
)
