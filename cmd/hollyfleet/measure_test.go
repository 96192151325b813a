package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollylever/fakes/between"
	"hollylever/fleet"
	"hollylever/fleetconfig"
)

// TestMeasure is not for CI: how long a version takes to the last process, and what the exchange costs. HOLLYFLEET_MEASURE names the sizes.
func TestMeasure(t *testing.T) {
	for _, word := range sizes(t, "HOLLYFLEET_MEASURE") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprint(n, " at ", loss), func(t *testing.T) { measure(t, n, loss) })
		}
	}
}

// sizes are those that a variable names; without it what is measured is skipped.
func sizes(t *testing.T, variable string) []string {
	words := os.Getenv(variable)
	if words == "" {
		t.Skip("only where it is asked for")
	}
	return strings.Split(words, ",")
}

func measure(t *testing.T, n int, loss float64) {
	w := newTown(t, 1, n, 3, func(p *process) { p.clock = 1 })
	w.agree(1)
	w.faults(func(int, int) between.Faults { return between.Faults{Loss: loss} })
	cpu, datagrams, bytes, began := w.spent(), 0, 0, time.Now()
	count := func() (d, b int) {
		for _, row := range w.relays {
			for _, r := range row {
				x, y := r.Count()
				d, b = d+x, b+y
			}
		}
		return d, b
	}
	datagrams, bytes = count()
	time.Sleep(5 * time.Second) // The exchange at rest: a length, not a wait for something.
	d, b := count()
	seconds := time.Since(began).Seconds()
	t.Logf("%d processes, loss %v, at rest: %.0f bytes and %.1f datagrams a process and second; CPU with the tests' retrievals %.1f ms a process and second",
		n, loss, float64(b-bytes)/seconds/float64(n), float64(d-datagrams)/seconds/float64(n), (w.spent()-cpu)/seconds/float64(n)*1000)
	at := map[uint64]int64{}
	for v := range 40 {
		began := fleet.Now()
		a, err := w.procs[v%n].propose(fleetconfig.Proposal{ID: fmt.Sprint("m", v), EjectEndpoints: []string{fmt.Sprint("h", v)}})
		if err == nil && a.Revision != 0 {
			at[a.Revision] = began
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.agree(uint64(len(at)))
	last, heard := map[uint64]int64{}, map[string]uint64{}
	for _, x := range w.trace() {
		for v := heard[x.name] + 1; v <= x.latest; v++ {
			last[v] = max(last[v], x.at-at[v])
			heard[x.name] = v
		}
	}
	var took []int64
	for v := range at {
		took = append(took, last[v])
	}
	slices.Sort(took)
	t.Logf("%d processes, loss %v: from propose to the last of them acting on it, median %v, 99%% %v, over %d versions", n, loss,
		time.Duration(took[len(took)/2]).Round(time.Millisecond), time.Duration(took[len(took)*99/100]).Round(time.Millisecond), len(took))
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
}

// spent is the CPU time of all processes, in seconds.
func (w *town) spent() (seconds float64) {
	for _, p := range w.procs {
		text, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
		if f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:])); len(f) > 13 {
			for _, word := range f[11:13] {
				ticks, _ := strconv.ParseFloat(word, 64)
				seconds += ticks / 100
			}
		}
	}
	return seconds
}
