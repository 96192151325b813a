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
	{"fleet joined", []string{"listen", "keeper", "t_ms"}},
	{"another process of this name is in the fleet; this one joins when it has gone", nil},
	{"what is acted on was not left", []string{"error"}},
	{"what lasted is damaged and was put aside: this keeper learns anew", []string{"file"}},
	{"replica stopped: it is begun again from its folder", []string{"error"}},
	{"replica runs again", nil},
	{"replica stopped for good: its folder is damaged; restart the process", []string{"file"}},
	{"not a message of the fleet", []string{"error"}},
	{"there are two histories: what this process acts on is another's", nil},
	{"list went back: what the later one took out stays out for a while", []string{"index", "before"}},
	{"settings are not those in force", []string{"own", "in_force"}},
	{"acts on", []string{"floor", "latest", "bans"}},
	{"under a lease", []string{"latest"}},
	{"alone: cut off from the majority, acts on the strictest that it knows", []string{"latest"}},
	{"drains by others' later lists", []string{"hosts", "count"}},
	{"list behind another's", []string{"index", "member", "its"}},
	{"another list under the same index", []string{"index", "member"}},
	{"server fails for several: left but for turns", []string{"server", "witnesses", "zones", "failures", "own"}},
	{"server settles again, or nobody says otherwise any more", []string{"server"}},
	{"a zone fails and is not left: too little would remain", []string{"zone", "hosts", "failing"}},
	{"zone in use again for all keys", []string{"zone"}},
	{"zones left", []string{"zones"}},
	{"proposed of a zone", []string{"zone", "leaves", "hosts", "failing", "version"}},
	{"reads miss for all", []string{"is", "reads", "misses"}},
	{"ejections not read", []string{"error"}},
	{"snapshot restored", []string{"endpoints", "keys", "age_ms"}},
	{"snapshot not restored", []string{"error"}},
	{"snapshot not written", []string{"error"}},
	{"resource limits changed", []string{"siblings", "max_clients", "max_endpoint_connections", "memory_mb"}},
	{"sibling processes not joined", []string{"error"}},
	{"sibling processes not updated", []string{"error"}},
	{"stall detected", []string{"cause", "duration_ms", "wakeup_delay_ms", "cpu_ms", "run_delay_ms", "gc_pause_ms", "scheduling_latency_ms",
		"gc_cycles", "cpu_before_ms", "resume_signals", "steal_ms", "lock_ms", "accept_ms", "log_ms", "goroutines", "suppressed", "functions"}},
	{"summary", []string{"clients", "hosts_open", "held", "servers", "index", "cpu_ms", "collections"}},
	{"request", nil},
	{"request ended badly", []string{"problem", "suppressed"}},
	{"client connection closed", []string{"client", "end", "age_ms", "commands"}},
	{"stopping", []string{"clients", "open_requests", "timeout_ms"}},
	{"requests unanswered at shutdown", []string{"open_requests", "request_ids"}},
	{"stopped", []string{"all_answered", "cut_off", "took_ms"}},
}
