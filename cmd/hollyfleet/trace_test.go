package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// decision is a line of a trace: what a process acted on, and when.
type decision struct {
	at, lookedAt                int64 // when it was written, and when the lease was looked at before
	name                        string
	minRevision, latestRevision uint64
	isLeased                    bool
	budgetShare                 float64
	digest                      string
}

// mergedTrace returns the decisions of all processes in the order of time.
func (c *cluster) mergedTrace() (all []decision) {
	for _, p := range c.processes {
		text, _ := os.ReadFile(filepath.Join(c.dir, p.name+".trace"))
		lines := strings.Split(string(text), "\n")
		for _, line := range lines[:max(0, len(lines)-1)] {
			var d decision
			if n, _ := fmt.Sscan(line, &d.at, &d.lookedAt, &d.name, &d.minRevision, &d.latestRevision, &d.isLeased, &d.budgetShare, &d.digest); n >= 7 {
				all = append(all, d)
			}
		}
	}
	slices.SortFunc(all, func(a, b decision) int { return int(a.at - b.at) })
	return all
}

// judgeStops returns the decisions of a fleet in which processes were stopped for longer than the pause that leases allow for. A
// stop may fall between the look at the lease and the line of the trace: nothing is promised of the act that follows it, and the
// line is judged where the pause would have ended. It is the last one that a process had begun before its stop; more of them
// than there were stops are wrong.
func judgeStops(all []decision, pause time.Duration, stops int) (judged []decision, wrong string) {
	caught := 0
	for _, d := range all {
		if end := d.lookedAt + int64(pause); d.at > end {
			caught++
			d.at = end
		}
		judged = append(judged, d)
	}
	if caught > stops {
		wrong = fmt.Sprintf("%d decisions lie over %v behind their look at the lease, in %d stops", caught, pause, stops)
	}
	slices.SortStableFunc(judged, func(a, b decision) int { return int(a.at - b.at) })
	return judged, wrong
}

// check finds the longest contradiction in a merged trace, and what must not be at all: anybody acting on what a
// version loosens while another is under a lease that does not know it, two versions of one number, or parts of
// budgets that are more than the whole. slack is for the look that a decision was made by: it may lie a pause before
// what is written.
func checkTrace(all []decision, slack time.Duration) (worst time.Duration, wrong string) {
	heard, loose, digests := map[uint64]int64{}, map[uint64]int64{}, map[uint64]string{}
	last, parts := uint64(0), map[string]decision{}
	for _, d := range all {
		parts[d.name] = d
		sum := 0.0
		for _, p := range parts {
			if d.at-p.at < int64(50*time.Millisecond) { // What it acts on now: it decides more often than that.
				sum += p.budgetShare
			}
		}
		if sum > 1+1e-9 {
			wrong = fmt.Sprintf("the parts that all act on are %v of the whole", sum)
		}
		for v := d.latestRevision; v > 0 && heard[v] == 0; v-- {
			heard[v] = d.at
		}
		for v := d.minRevision; v > 0 && loose[v] == 0; v-- {
			loose[v] = d.at
		}
		last = max(last, d.latestRevision)
		if was, known := digests[d.latestRevision]; known && was != d.digest {
			wrong = fmt.Sprintf("revision %d is %s and %s", d.latestRevision, was, d.digest)
		}
		digests[d.latestRevision] = d.digest
		if !d.isLeased || d.latestRevision >= last {
			continue
		}
		if since := d.at - heard[d.latestRevision+1]; heard[d.latestRevision+1] != 0 {
			worst = max(worst, time.Duration(since))
		}
		if since := loose[d.latestRevision+1]; since != 0 && d.at-since > int64(slack) {
			wrong = fmt.Sprintf("%s is under a lease knowing %d, and %d is loose already for %v", d.name, d.latestRevision, d.latestRevision+1, time.Duration(d.at-since))
		}
	}
	return worst, wrong
}

// A decision that a stop has caught behind its look at the lease is judged at the end of the allowed pause, and no other one is
// moved. More of them than stops are wrong.
func TestJudgeStopsMovesOnlyWhatAStopHasCaught(t *testing.T) {
	pause := 150 * time.Millisecond
	within, beyond := decision{at: int64(pause), name: "b0"}, decision{at: int64(10 * pause), name: "b0"}
	judged, wrong := judgeStops([]decision{within, beyond}, pause, 1)
	if wrong != "" || judged[0].at != int64(pause) || judged[1].at != int64(pause) {
		t.Errorf("%+v, %q; want both at %v", judged, wrong, pause)
	}
	if _, wrong := judgeStops([]decision{beyond, beyond}, pause, 1); wrong == "" {
		t.Error("two decisions are taken for caught by one stop")
	}
}
