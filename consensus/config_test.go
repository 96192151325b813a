package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// Guards against sending requests to an endpoint that one active revision ejects because a later one reverses the
// ejection: while leases under the earlier revision remain, that contradicts processes that have not learned of the
// later one. Stricter values take effect at once, looser ones only when the min revision advances, and values that are
// neither come from the min revision.
func TestStrictestConfigOfActiveRevisions(t *testing.T) {
	latest := Revision{Number: 1}
	next := func(proposal Proposal) Revision {
		proposal.ID = "x"
		revision, err := proposal.apply(latest)
		if err != nil {
			t.Fatal(err)
		}
		latest = revision
		return revision
	}
	digest, minListIndex := "d2", uint64(7)
	first := next(Proposal{EjectEndpoints: []string{"a", "b"}, Limits: map[string]int64{"held": 9, "q": 5}})
	second := next(Proposal{EjectEndpoints: []string{"c"}, UnejectEndpoints: []string{"a"},
		Limits: map[string]int64{"held": 12, "q": 3}, SettingsDigest: &digest, MinListIndex: &minListIndex})
	third := next(Proposal{Limits: map[string]int64{"q": -1}})
	config := strictest([]Revision{first, second, third})
	if !slices.Equal(config.EjectedEndpoints, []string{"a", "b", "c"}) || config.Limits["held"] != 9 ||
		config.Limits["q"] != 3 || config.SettingsDigest != "" || config.MinListIndex != 7 {
		t.Errorf("strictest configuration of all revisions: %+v", config)
	}
	if config = strictest([]Revision{third}); !slices.Equal(config.EjectedEndpoints, []string{"b", "c"}) ||
		config.Limits["held"] != 12 || len(config.Limits) != 1 || config.SettingsDigest != digest {
		t.Errorf("strictest configuration of the last revision: %+v", config)
	}
	outdated := &Proposal{ID: "x", BaseRevision: 1, EjectEndpoints: []string{"z"}}
	if _, err := outdated.apply(latest); !errors.Is(err, ErrBaseRevision) {
		t.Errorf("proposal for an earlier base revision: got error %v", err)
	}
	unchanged := &Proposal{ID: "x", EjectEndpoints: []string{"b"}}
	if _, err := unchanged.apply(latest); !errors.Is(err, ErrNoChange) {
		t.Errorf("proposal without a change: got error %v", err)
	}
}

// Guards against timings that would leave a fleet without leases: a lease that is too short, clocks that are too far
// off, or a pause longer than the lease. Also checks that MaxDisagreement is the value that operators are told.
func TestLeaseTimingBounds(t *testing.T) {
	timing := LeaseTiming{
		LeaseDuration:  1800 * time.Millisecond,
		ClockRateError: 0.01,
		MaxPause:       150 * time.Millisecond,
	}
	got, err := timing.MaxDisagreement().Round(time.Millisecond), timing.Validate()
	if got != 1986*time.Millisecond || err != nil {
		t.Errorf("MaxDisagreement %v, want 1.986s; Validate returned %v", got, err)
	}
	for _, invalid := range []LeaseTiming{{LeaseDuration: time.Millisecond}, {LeaseDuration: time.Second,
		ClockRateError: 0.5}, {LeaseDuration: time.Second, MaxPause: time.Minute}} {
		if invalid.Validate() == nil {
			t.Errorf("Validate accepted %+v", invalid)
		}
	}
}
