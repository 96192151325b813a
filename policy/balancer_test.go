package policy

import "testing"

// The share that the fleet agrees on takes precedence over the number of balancers in the settings, and is capped at 1.
func TestFleetShareOverridesFleetSize(t *testing.T) {
	h := newHarness(t, 7, 4, nil)
	if h.balancer.SetFleetShare(0.1); h.balancer.fleetSize != 10 {
		t.Errorf("fleet size %g for a share of 0.1, want 10", h.balancer.fleetSize)
	}
	if h.balancer.SetFleetShare(7); h.balancer.fleetSize != 1 {
		t.Errorf("fleet size %g for a share above 1, want 1", h.balancer.fleetSize)
	}
}
