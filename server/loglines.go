package server

// logLine is one that can be logged: its message, and its fields beside time, level, balancer and message. The summary
// has, besides, a field for each thing that happened.
type logLine struct {
	message string
	fields  []string
}

// logLines are all of them. A test compares this list with what the sources log and with the pages for on-call staff.
var logLines = []logLine{
	{"serving", []string{"listen", "mgmt", "max_clients", "max_endpoint_connections", "memory_mb"}},
	{"servers changed", []string{"index", "changed", "ready", "draining", "gone"}},
	{"list lost", []string{"error"}},
	{"list followed again", []string{"discovery"}},
	{"configuration reloaded", []string{"discovery", "previous_discovery"}},
	{"configuration rejected", []string{"error"}},
	{"setting applied", []string{"field"}},
	{"setting applies after restart", []string{"field"}},
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
	{"snapshot not written", []string{"error"}},
	{"resource limits changed", []string{"siblings", "max_clients", "max_endpoint_connections", "memory_mb"}},
	{"sibling processes not joined", []string{"error"}},
	{"sibling processes not updated", []string{"error"}},
	{"stall detected", []string{"cause", "duration_ms", "wakeup_delay_ms", "cpu_ms", "run_delay_ms", "gc_pause_ms", "scheduling_latency_ms",
		"gc_cycles", "cpu_before_ms", "resume_signals", "steal_ms", "lock_ms", "accept_ms", "log_ms", "goroutines", "suppressed", "functions"}},
	{"summary", []string{"clients", "clients_partial", "client_memory_kb", "hosts_open", "held", "servers", "index", "cpu_ms", "collections"}},
	{"request", nil},
	{"request ended badly", []string{"problem", "suppressed"}},
	{"client connection closed", []string{"client", "end", "age_ms", "commands"}},
	{"stopping", []string{"clients", "open_requests", "timeout_ms"}},
	{"requests unanswered at shutdown", []string{"open_requests", "request_ids"}},
	{"stopped", []string{"all_answered", "cut_off", "took_ms"}},
}
