package server

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollylever/fakes/soak"
	"hollylever/fakes/syscalls"
)

const (
	soakLength  = 6 * time.Second
	soakSeeds   = 4  // in CI; more by hand with HOLLYLEVER_SOAK
	soakTries   = 12 // to shrink a plan that fails
	shownEvents = 20 // breaches that are shown
)

// Several real processes under faults drawn from a seed: series of signals, stops, hosts that hang, reject, reset and
// drain, discovery that ends its watches, clients that disconnect, write slowly, pipeline many commands or idle in
// large numbers. HOLLYLEVER_SOAK=N plays N seeds, HOLLYLEVER_SOAK_FROM the first of them; a plan that fails is printed
// and shrunk.
func TestSoak(t *testing.T) {
	seeds, from := soakSeeds, 1
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_SOAK")); err == nil {
		seeds = n
	}
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_SOAK_FROM")); err == nil {
		from = n
	}
	program := soak.Program{Path: os.Args[0], Variables: []string{programVariable + "=1"}, Start: startWithFaults}
	for seed := from; seed < from+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plan := soak.NewPlan(uint64(seed), soakLength, program.Start != nil)
			result, logs, err := soak.Play(plan, program, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result)
			if len(result.Breaches) == 0 {
				return
			}
			for _, breach := range result.Breaches[:min(len(result.Breaches), shownEvents)] {
				t.Error(breach)
			}
			for n, log := range logs {
				t.Logf("process %d:\n%s", n, warnings(log))
			}
			small := soak.Shrink(plan, soakTries, func(p soak.Plan) bool {
				again, _, err := soak.Play(p, program, t.TempDir())
				return err == nil && len(again.Breaches) > 0
			})
			t.Errorf("the plan, shrunk from %d events: %v", len(plan.Events), small)
		})
	}
}

// systemFaults has the calls of a process fail as the soak's events say.
type systemFaults struct{ *syscalls.Faults }

func (f systemFaults) Fail(kind soak.Kind, part float64) {
	for _, rule := range map[soak.Kind][]syscalls.Rule{soak.AcceptFault: {syscalls.Accepts}, soak.ConnectFault: {syscalls.Sockets, syscalls.Connect},
		soak.Interrupts: {syscalls.Signals}}[kind] {
		f.Faults.Fail(fmt.Sprint(kind, rule.Calls), rule, part)
	}
}

func startWithFaults(cmd *exec.Cmd) (soak.SystemFaults, error) {
	faults, err := syscalls.Start(cmd, 1)
	if err != nil {
		return nil, err
	}
	return systemFaults{faults}, nil
}

// warnings are the lines of a log but those at the level info that come often.
func warnings(log string) string {
	var kept []string
	for line := range strings.Lines(log) {
		if !strings.Contains(line, `"servers changed"`) {
			kept = append(kept, strings.TrimRight(line, "\n"))
		}
	}
	return strings.Join(kept, "\n")
}
