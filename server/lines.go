package server

// line is one that can be logged: its message, and its fields beside time, level, balancer and message. The summary has, besides, a field
// for each thing that happened.
type line struct {
	message string
	fields  []string
}

// lines are all of them. A test holds this list against what the sources log and against what on-call staff are told.
var lines = []line{
	{"serving", []string{"listen", "mgmt", "clients", "hosts", "memory_mb"}},
	{"servers changed", []string{"index", "changed", "ready", "draining", "gone"}},
	{"list lost", []string{"error"}},
	{"list followed again", []string{"discovery"}},
	{"configuration read again", []string{"discovery", "before"}},
	{"configuration not taken", []string{"error"}},
	{"counts from now on", []string{"field"}},
	{"counts at the next start", []string{"field"}},
	{"accept failed", []string{"error"}},
	{"ejection by hand", []string{"endpoint", "ejected"}},
	{"ejection by the fleet", []string{"endpoint", "ejected"}},
	{"ejection by another member's list", []string{"endpoint", "ejected"}},
	{"fleet joined", []string{"listen", "replica", "max_disagreement_ms"}},
	{"join deferred: another process of this name is in the fleet", nil},
	{"handover file not written", []string{"error"}},
	{"replica log corrupt: put aside, the replica starts empty", []string{"file"}},
	{"replica stopped: restarting from its log", []string{"error"}},
	{"replica restarted", nil},
	{"replica stopped for good: its log is corrupt, restart the process", []string{"file"}},
	{"invalid fleet message", []string{"error"}},
	{"conflicting history rejected: this process acts on another's", nil},
	{"endpoint list index went back", []string{"index", "previous_index"}},
	{"settings differ from the fleet's", []string{"own_digest", "fleet_digest"}},
	{"effective configuration changed", []string{"min_revision", "revision", "ejected"}},
	{"lease acquired", []string{"revision"}},
	{"lease expired: acting on the strictest known configuration", []string{"revision"}},
	{"drains from peers' lists changed", []string{"endpoints", "count"}},
	{"endpoint list behind a peer's", []string{"index", "member", "member_index"}},
	{"endpoint list differs from a peer's of the same index", []string{"index", "member"}},
	{"outlier ejected", []string{"endpoint", "reporters", "reporter_zones", "consecutive_failures", "own_consecutive_failures"}},
	{"outlier ejection ended", []string{"endpoint"}},
	{"zone evacuation rejected: too few endpoints would remain", []string{"zone", "endpoints", "failing"}},
	{"zone evacuation ended", []string{"zone"}},
	{"evacuated zones changed", []string{"zones"}},
	{"zone evacuation proposed", []string{"zone", "evacuate", "endpoints", "failing", "revision"}},
	{"widespread cache misses", []string{"active", "reads", "misses"}},
	{"ejections not read", []string{"error"}},
	{"snapshot restored", []string{"endpoints", "keys", "age_ms"}},
	{"snapshot not restored", []string{"error"}},
	{"not kept", []string{"error"}},
	{"limits divided", []string{"beside", "clients", "hosts", "memory_mb"}},
	{"siblings not joined", []string{"error"}},
	{"siblings not told", []string{"error"}},
	{"stall detected", []string{"cause", "duration_ms", "wakeup_delay_ms", "cpu_ms", "run_delay_ms", "gc_pause_ms", "scheduling_latency_ms",
		"gc_cycles", "cpu_before_ms", "resume_signals", "steal_ms", "lock_ms", "accept_ms", "log_ms", "goroutines", "suppressed", "functions"}},
	{"summary", []string{"clients", "hosts_open", "held", "servers", "index", "cpu_ms", "collections"}},
	{"request", nil},
	{"request ended badly", []string{"problem", "suppressed"}},
	{"client connection closed", []string{"client", "end", "age_ms", "commands"}},
	{"stopping", []string{"clients", "open", "limit_ms"}},
	{"unanswered at the stop", []string{"open", "ids"}},
	{"stopped", []string{"all_answered", "cut_off", "took_ms"}},
}
