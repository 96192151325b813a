package outage

import "testing"

const (
	ms     = int64(1e6)
	second = 1000 * ms
)

// Guards against requests timing out because they are sent to a zone that is down. The zone must be suspected after a
// few failures, but not if these can be explained by a single server, by chance or by this balancer's own network.
func TestZoneIsSuspectedAfterImprobableFailures(t *testing.T) {
	const zone, otherZone = 0, 1
	for name, c := range map[string]struct {
		events   func(d *Detector)
		suspects bool
	}{
		"no outcomes": {func(d *Detector) {}, false},
		"three servers fail in a row while the other zone responds": {func(d *Detector) {
			for server := range 3 {
				d.RecordFailure(zone, server, 2*ms)
				d.RecordResponse(otherZone, 3*ms)
			}
		}, true},
		"one server fails repeatedly": {func(d *Detector) {
			for range 20 {
				d.RecordFailure(zone, 7, 2*ms)
				d.RecordResponse(otherZone, 3*ms)
			}
		}, false},
		"the zone responds between failures": {func(d *Detector) {
			for server := range 20 {
				d.RecordFailure(zone, server, 2*ms)
				d.RecordResponse(otherZone, 3*ms)
				if server%2 == 0 {
					d.RecordResponse(zone, 3*ms)
				}
			}
		}, false},
		"no zone responds": {func(d *Detector) {
			d.RecordResponse(otherZone, ms)
			for server := range 20 {
				d.RecordFailure(zone, server, 2*ms)
				d.RecordFailure(otherZone, 100+server, 2*ms)
			}
		}, false},
		"the other zone fails as often": {func(d *Detector) {
			for server := range 60 {
				d.RecordFailure(otherZone, 100+server, 2*ms)
				d.RecordResponse(otherZone, 3*ms)
			}
			for server := range 3 {
				d.RecordFailure(zone, server, 4*ms)
			}
			d.RecordResponse(otherZone, 5*ms)
		}, false},
		"two failures where the other zone hardly ever fails": {func(d *Detector) {
			for range 200 {
				d.RecordResponse(otherZone, ms)
			}
			d.RecordFailure(zone, 1, 2*ms)
			d.RecordFailure(zone, 2, 2*ms)
			d.RecordResponse(otherZone, 3*ms)
		}, true},
		"two zones are down at the same time": {func(d *Detector) {
			for range 30 {
				d.RecordResponse(2, ms)
			}
			for server := range 2 {
				d.RecordFailure(zone, server, 2*ms)
				d.RecordFailure(3, 100+server, 2*ms)
				d.RecordResponse(2, 3*ms)
			}
		}, true},
		"servers without a zone": {func(d *Detector) {
			for server := range 20 {
				d.RecordFailure(-1, server, 2*ms)
			}
		}, false},
	} {
		d := New(3 * second)
		c.events(d)
		if d.IsSuspected(zone) != c.suspects || d.IsSuspected(otherZone) {
			t.Errorf("%s: zone suspected: %t, other zone suspected: %t", name, d.IsSuspected(zone), d.IsSuspected(otherZone))
		}
	}
}

// Guards against a recovered zone being avoided, so that its servers idle while those of other zones are overloaded. A
// suspected zone must be retried with a probability that grows with the time since its last failure, and must be used
// by all requests after its first response.
func TestSuspectedZoneIsTriedAgain(t *testing.T) {
	d := New(3 * second)
	for server := range 5 {
		d.RecordFailure(0, server, second)
		d.RecordResponse(1, second+ms)
	}
	for _, c := range []struct {
		after  int64
		draw   float64
		avoids bool
	}{{0, 0.999, true}, {5 * second, 0.5, true}, {5 * second, 0.8, false}, {150 * second, 0.01, false}} {
		if d.ShouldAvoid(0, second+c.after, c.draw) != c.avoids {
			t.Errorf("%d s after the last failure, draw %g: avoided: %t", c.after/second, c.draw, !c.avoids)
		}
	}
	d.RecordResponse(0, 2*second)
	if d.ShouldAvoid(0, 2*second, 0) {
		t.Error("zone is avoided although it has responded")
	}
}

// Guards against a healthy zone being avoided because of random failures, which would shift its load to the others.
// False alarms must be rare at any failure rate that is the same in all zones.
func TestFalseAlarmsAreRare(t *testing.T) {
	for _, rate := range []float64{0.01, 0.05, 0.125, 0.3, 0.6} {
		d, random, alarms := New(3*second), uint64(1), 0
		for n := range 100_000 {
			random = random*6364136223846793005 + 1442695040888963407
			zone, now := int(random>>33)%3, int64(n)*ms
			random = random*6364136223846793005 + 1442695040888963407
			if float64(random>>11)/(1<<53) < rate {
				d.RecordFailure(zone, n, now)
			} else {
				d.RecordResponse(zone, now)
			}
			if d.IsSuspected(zone) {
				alarms++
			}
		}
		if float64(alarms) > 2*maxFalseAlarmProbability*100_000 {
			t.Errorf("a zone is suspected after %d of 100000 attempts at a failure rate of %g in all zones", alarms, rate)
		}
	}
}
