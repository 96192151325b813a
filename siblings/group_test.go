package siblings

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

// limits are the limits of all processes of a test together.
var limits = Resources{ClientConnections: 160, EndpointConnections: 160, MemoryBytes: 64 << 20}

func join(t *testing.T, directory string) *Group {
	t.Helper()
	g, err := Join(directory, limits)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// updateRounds calls Update on all processes in turn, for six rounds, and returns what each may use after the last one.
func updateRounds(t *testing.T, processes ...*Group) (allowed []Resources) {
	t.Helper()
	for range 6 {
		allowed = nil
		for _, g := range processes {
			resources, _, _, err := g.Update(g.own.Usage, 0)
			if err != nil {
				t.Fatal(err)
			}
			allowed = append(allowed, resources)
		}
	}
	return allowed
}

// Runs upgrades that succeed, or in which a process is killed, never becomes ready or crashes afterwards. Guards
// against claims that outlive their process, which would permanently deprive the balancer of connections and memory:
// the last remaining process must get all resources.
func TestLastProcessHasAllResources(t *testing.T) {
	allResources := Resources{limits.ClientConnections, limits.EndpointConnections, limits.MemoryBytes - limits.MemoryBytes/4}
	for name, upgrade := range map[string]func(directory string, old *Group) *Group{
		"successful upgrade": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			old.own.Usage = Resources{ClientConnections: 100, EndpointConnections: 40, MemoryBytes: 9 << 20}
			if a := updateRounds(t, old, successor); a[1].ClientConnections != 20 || a[0].ClientConnections != 140 {
				t.Errorf("starting process may use %+v, old process %+v", a[1], a[0])
			}
			successor.SetPhase(Serving)
			if a := updateRounds(t, old, successor); a[0].ClientConnections != 130 || a[1].ClientConnections != 30 { // No client has to be disconnected.
				t.Errorf("both processes serving: %+v, %+v", a[0], a[1])
			}
			old.own.Usage = Resources{ClientConnections: 30, EndpointConnections: 10, MemoryBytes: 9 << 20}
			old.SetPhase(Draining)
			if a := updateRounds(t, old, successor); a[0].ClientConnections != 30 || a[0].EndpointConnections != 25 ||
				a[1].ClientConnections != 130 || a[1].EndpointConnections != 135 {
				t.Errorf("old process draining: %+v, %+v", a[0], a[1])
			}
			old.Close()
			return successor
		},
		"old process is killed early": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			updateRounds(t, old, successor)
			old.Close()
			successor.SetPhase(Serving)
			return successor
		},
		"new process never becomes ready": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			updateRounds(t, old, successor)
			successor.Close()
			return old
		},
		"new process crashes while serving and is restarted": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			updateRounds(t, old, successor)
			successor.SetPhase(Serving)
			updateRounds(t, old, successor)
			old.own.Usage = Resources{ClientConnections: 50, EndpointConnections: 20, MemoryBytes: 9 << 20}
			old.SetPhase(Draining)
			updateRounds(t, old, successor)
			successor.Close()
			restarted := join(t, directory)
			updateRounds(t, old, restarted)
			restarted.SetPhase(Serving)
			if a := updateRounds(t, old, restarted); a[1].ClientConnections != 110 {
				t.Errorf("restarted process beside a draining one may use %+v", a[1])
			}
			old.Close()
			return restarted
		},
		"two overlapping upgrades": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			updateRounds(t, old, successor)
			successor.SetPhase(Serving)
			old.SetPhase(Draining)
			old.own.Usage = Resources{ClientConnections: 100, EndpointConnections: 100, MemoryBytes: 20 << 20}
			updateRounds(t, old, successor)
			third := join(t, directory)
			updateRounds(t, old, successor, third)
			third.SetPhase(Serving)
			successor.SetPhase(Draining)
			successor.own.Usage = Resources{ClientConnections: 10, EndpointConnections: 10, MemoryBytes: 9 << 20}
			updateRounds(t, old, successor, third)
			successor.Close()
			updateRounds(t, old, third)
			old.Close()
			return third
		},
	} {
		directory := t.TempDir()
		old := join(t, directory)
		updateRounds(t, old)
		old.SetPhase(Serving)
		if a := updateRounds(t, old); a[0] != allResources {
			t.Errorf("%s: single process may use %+v", name, a[0])
		}
		last := upgrade(directory, old)
		if a := updateRounds(t, last); a[0] != allResources {
			t.Errorf("%s: last process may use %+v", name, a[0])
		}
		last.Close()
	}
}

// Processes start, stop, crash, hang and update late, and state files are partially written. Guards against claims that
// add up to more than the limits, which would exhaust descriptors or memory during an upgrade, and against processes
// that use more than they claim. The processes increase their usage up to their allowance and decrease it at random.
func TestClaimsNeverExceedTheLimits(t *testing.T) {
	for seed := range uint64(150) {
		random, directory := rand.New(rand.NewPCG(seed, 2)), t.TempDir()
		var running []*Group
		for step := range 250 {
			switch action := random.IntN(12); {
			case action == 0 && len(running) < 4:
				running = append(running, join(t, directory))
			case action == 1 && len(running) > 0:
				i := random.IntN(len(running))
				running[i].Close()
				running = append(running[:i], running[i+1:]...)
			case action == 2 && len(running) > 0:
				running[random.IntN(len(running))].SetPhase([]Phase{Serving, Draining}[random.IntN(2)])
			case action == 3:
				os.WriteFile(fmt.Sprintf("%s/hollylever.kin.%d", directory, random.IntN(MaxProcesses)), []byte(`{"pid":`), 0o600) // partially written
			case len(running) > 0:
				g := running[random.IntN(len(running))]
				allowed := allowance(g.total, g.own, g.others)
				usage := forEachResource(func(r resource) int64 {
					used := g.own.Usage.get(r)
					if most := allowed.get(r); g.own.Phase != Draining && most > used {
						return used + random.Int64N(most-used+1)
					} else if random.IntN(2) == 0 {
						return used - random.Int64N(used+1)
					}
					return used
				})
				if _, _, _, err := g.Update(usage, 0); err != nil {
					t.Fatal(err)
				}
			}
			var claims Resources
			for _, g := range running {
				claims = claims.plus(g.own.Claim)
				for _, r := range resources {
					if g.own.Usage.get(r) > g.own.Claim.get(r) {
						t.Fatalf("seed %d, step %d: process uses %+v but claims %+v", seed, step, g.own.Usage, g.own.Claim)
					}
				}
			}
			for _, r := range resources {
				if claims.get(r) > limits.get(r) {
					t.Fatalf("seed %d, step %d: claims add up to %+v, limits are %+v", seed, step, claims, limits)
				}
			}
		}
		for _, g := range running {
			g.Close()
		}
	}
}

// Guards against more than MaxProcesses processes, whose claims the others would not read. A ninth process must be
// rejected; once a process has ended, a new one can join.
func TestJoinFailsWithoutFreeSlot(t *testing.T) {
	directory := t.TempDir()
	var running []*Group
	for range MaxProcesses {
		running = append(running, join(t, directory))
	}
	if _, err := Join(directory, limits); !errors.Is(err, ErrTooManyProcesses) {
		t.Errorf("Join without a free slot: %v, want ErrTooManyProcesses", err)
	}
	running[3].Close()
	running[3] = join(t, directory)
	for _, g := range running {
		g.Close()
	}
}

// Two processes serve, or one of them drains. Guards against endpoints that are warming up getting more attempts than
// one balancer may send, and against a snapshot written by a process other than the one that has learned most.
func TestAttemptSharesAndSnapshotWriter(t *testing.T) {
	old, successor := processState{StartedAt: 1, Phase: Serving, Attempts: 90}, processState{StartedAt: 2, Phase: Serving, Attempts: 30}
	if p := attemptShare(old, []processState{successor}); p != 0.75 {
		t.Errorf("share of the older process is %v, want 0.75", p)
	}
	if p := attemptShare(processState{}, []processState{old}); p != minAttemptShare {
		t.Errorf("share of a process without attempts is %v, want minAttemptShare", p)
	}
	if attemptShare(successor, nil) != 1 {
		t.Error("share of a single process is not 1")
	}
	draining := old
	draining.Phase = Draining
	if p := attemptShare(processState{Phase: Serving}, []processState{draining}); p != successorAttemptShare {
		t.Errorf("share of a process beside a draining one is %v, want successorAttemptShare", p)
	}
	for _, c := range []struct {
		own      processState
		others   []processState
		isWriter bool
	}{
		{old, nil, true},
		{old, []processState{successor}, true},
		{successor, []processState{old}, false},
		{successor, []processState{draining}, true},
		{draining, []processState{successor}, false},
		{draining, nil, true},
		{processState{Phase: Starting}, []processState{old}, false},
	} {
		if isSnapshotWriter(c.own, c.others) != c.isWriter {
			t.Errorf("isSnapshotWriter(%+v, %+v) = %t", c.own, c.others, !c.isWriter)
		}
	}
}
