package siblings

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

// limits are what all processes of a test may use together.
var limits = Resources{ClientConnections: 160, EndpointConnections: 160, MemoryBytes: 64 << 20}

// join takes a slot in a directory.
func join(t *testing.T, directory string) *Group {
	t.Helper()
	g, err := Join(directory, limits)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// settle has all processes update some times, one after the other, and returns what each may use in the end.
func settle(t *testing.T, processes ...*Group) (allowed []Resources) {
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

// An upgrade goes in any way that upgrades go: a process is killed, never gets ready, or crashes after it did. A claim
// that stayed behind would leave the balancer with a part of its connections and memory for good: in the end the one
// process that is left has all.
func TestLastProcessHasAllResources(t *testing.T) {
	everything := Resources{limits.ClientConnections, limits.EndpointConnections, limits.MemoryBytes - limits.MemoryBytes/4}
	for name, upgrade := range map[string]func(directory string, old *Group) *Group{
		"an upgrade": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			old.own.Usage = Resources{ClientConnections: 100, EndpointConnections: 40, MemoryBytes: 9 << 20}
			if a := settle(t, old, successor); a[1].ClientConnections != 20 || a[0].ClientConnections != 140 {
				t.Errorf("a process that starts may have %+v beside %+v", a[1], a[0])
			}
			successor.SetPhase(Serving)
			if a := settle(t, old, successor); a[0].ClientConnections != 130 || a[1].ClientConnections != 30 { // No client has to go.
				t.Errorf("both serve: %+v, %+v", a[0], a[1])
			}
			old.own.Usage = Resources{ClientConnections: 30, EndpointConnections: 10, MemoryBytes: 9 << 20}
			old.SetPhase(Draining)
			if a := settle(t, old, successor); a[0].ClientConnections != 30 || a[0].EndpointConnections != 25 ||
				a[1].ClientConnections != 130 || a[1].EndpointConnections != 135 {
				t.Errorf("one drains: %+v, %+v", a[0], a[1])
			}
			old.Close()
			return successor
		},
		"the old process is killed early": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			settle(t, old, successor)
			old.Close()
			successor.SetPhase(Serving)
			return successor
		},
		"a new process that never gets ready": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			settle(t, old, successor)
			successor.Close()
			return old
		},
		"a new process that crashes once it serves and is started again": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			settle(t, old, successor)
			successor.SetPhase(Serving)
			settle(t, old, successor)
			old.own.Usage = Resources{ClientConnections: 50, EndpointConnections: 20, MemoryBytes: 9 << 20}
			old.SetPhase(Draining)
			settle(t, old, successor)
			successor.Close()
			restarted := join(t, directory)
			settle(t, old, restarted)
			restarted.SetPhase(Serving)
			if a := settle(t, old, restarted); a[1].ClientConnections != 110 {
				t.Errorf("beside one that drains: %+v", a[1])
			}
			old.Close()
			return restarted
		},
		"two upgrades in a row": func(directory string, old *Group) *Group {
			successor := join(t, directory)
			settle(t, old, successor)
			successor.SetPhase(Serving)
			old.SetPhase(Draining)
			old.own.Usage = Resources{ClientConnections: 100, EndpointConnections: 100, MemoryBytes: 20 << 20}
			settle(t, old, successor)
			third := join(t, directory)
			settle(t, old, successor, third)
			third.SetPhase(Serving)
			successor.SetPhase(Draining)
			successor.own.Usage = Resources{ClientConnections: 10, EndpointConnections: 10, MemoryBytes: 9 << 20}
			settle(t, old, successor, third)
			successor.Close()
			settle(t, old, third)
			old.Close()
			return third
		},
	} {
		directory := t.TempDir()
		old := join(t, directory)
		settle(t, old)
		old.SetPhase(Serving)
		if a := settle(t, old); a[0] != everything {
			t.Errorf("%s: alone it may have %+v", name, a[0])
		}
		last := upgrade(directory, old)
		if a := settle(t, last); a[0] != everything {
			t.Errorf("%s: in the end it may have %+v", name, a[0])
		}
		last.Close()
	}
}

// Processes come, go, die, hang and update late, and files are half written. Were the claims to add up to more than the
// limits, the balancer would run out of descriptors or memory amid an upgrade: they never do, and no process uses more
// than it claims. A process here takes up to what it was allowed, and gives back at random.
func TestClaimsNeverExceedTheLimits(t *testing.T) {
	for seed := range uint64(150) {
		random, directory := rand.New(rand.NewPCG(seed, 2)), t.TempDir()
		var running []*Group
		for step := range 250 {
			switch n := random.IntN(12); {
			case n == 0 && len(running) < 4:
				running = append(running, join(t, directory))
			case n == 1 && len(running) > 0:
				i := random.IntN(len(running))
				running[i].Close()
				running = append(running[:i], running[i+1:]...)
			case n == 2 && len(running) > 0:
				running[random.IntN(len(running))].SetPhase([]Phase{Serving, Draining}[random.IntN(2)])
			case n == 3:
				os.WriteFile(fmt.Sprintf("%s/hollylever.kin.%d", directory, random.IntN(maxProcesses)), []byte(`{"pid":`), 0o600) // Half written.
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
						t.Fatalf("seed %d, step %d: a process uses %+v of %+v", seed, step, g.own.Usage, g.own.Claim)
					}
				}
			}
			for _, r := range resources {
				if claims.get(r) > limits.get(r) {
					t.Fatalf("seed %d, step %d: %+v is claimed of %+v", seed, step, claims, limits)
				}
			}
		}
		for _, g := range running {
			g.Close()
		}
	}
}

// Processes are started in a loop, each beside the others. A ninth one would take a claim that no other reads: it is
// refused, and the next one gets in once a process has ended.
func TestNoMoreProcessesThanSlots(t *testing.T) {
	directory := t.TempDir()
	var running []*Group
	for range maxProcesses {
		running = append(running, join(t, directory))
	}
	if _, err := Join(directory, limits); !errors.Is(err, ErrTooManyProcesses) {
		t.Errorf("one process too many: %v", err)
	}
	running[3].Close()
	running[3] = join(t, directory)
	for _, g := range running {
		g.Close()
	}
}

// Two processes serve, or one drains beside the other. Cold servers must not get more attempts than one balancer may
// send, and the snapshot must be by the process that knows most.
func TestAttemptSharesAndSnapshotWriter(t *testing.T) {
	old, successor := processState{StartedAt: 1, Phase: Serving, Attempts: 90}, processState{StartedAt: 2, Phase: Serving, Attempts: 30}
	if p := attemptShare(old, []processState{successor}); p != 0.75 {
		t.Errorf("the older process has %v of the attempts", p)
	}
	if p := attemptShare(processState{}, []processState{old}); p != minAttemptShare {
		t.Errorf("a process that has sent nothing has %v", p)
	}
	if attemptShare(successor, nil) != 1 {
		t.Error("a process that is alone has not all")
	}
	draining := old
	draining.Phase = Draining
	if p := attemptShare(processState{Phase: Serving}, []processState{draining}); p != successorAttemptShare {
		t.Errorf("a process that takes over has %v", p)
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
			t.Errorf("%+v beside %+v writes the snapshot: %t", c.own, c.others, !c.isWriter)
		}
	}
}
