package simadapter

import "hollylever/policy"

// Mappings from words of the wire to terms of the decision module.
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

// Names of the lines that are not events: the limits of a batch, the end of its reply, and an endpoint list entry.
const (
	batchStart = "sync"
	batchEnd   = "commit"
	replyEnd   = "ack"
	listEntry  = "row"
)

// handlers maps the wire name of an event to its handler. The events "init" and "down" are handled in processEvent.
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

// Events that create and remove instances.
const (
	eventInit = "init" // creates an instance
	eventDown = "down" // removes an instance and all its state
)
