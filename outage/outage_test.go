package outage

import "testing"

const (
	ms     = int64(1e6)
	second = 1000 * ms
)

func TestSuspects(t *testing.T) {
	const here, there = 0, 1
	for name, c := range map[string]struct {
		play     func(d *Detector)
		suspects bool
	}{
		"nothing known": {func(d *Detector) {}, false},
		"three servers fail in a row while others answer": {func(d *Detector) {
			for server := range 3 {
				d.RecordFailure(here, server, 2*ms)
				d.RecordResponse(there, 3*ms)
			}
		}, true},
		"one server fails again and again": {func(d *Detector) {
			for range 20 {
				d.RecordFailure(here, 7, 2*ms)
				d.RecordResponse(there, 3*ms)
			}
		}, false},
		"an answer comes between": {func(d *Detector) {
			for server := range 20 {
				d.RecordFailure(here, server, 2*ms)
				d.RecordResponse(there, 3*ms)
				if server%2 == 0 {
					d.RecordResponse(here, 3*ms)
				}
			}
		}, false},
		"nobody answers": {func(d *Detector) {
			d.RecordResponse(there, ms)
			for server := range 20 {
				d.RecordFailure(here, server, 2*ms)
				d.RecordFailure(there, 100+server, 2*ms)
			}
		}, false},
		"all fail as often": {func(d *Detector) {
			for server := range 60 {
				d.RecordFailure(there, 100+server, 2*ms)
				d.RecordResponse(there, 3*ms)
			}
			for server := range 3 {
				d.RecordFailure(here, server, 4*ms)
			}
			d.RecordResponse(there, 5*ms)
		}, false},
		"two are enough where the others hardly ever fail": {func(d *Detector) {
			for range 200 {
				d.RecordResponse(there, ms)
			}
			d.RecordFailure(here, 1, 2*ms)
			d.RecordFailure(here, 2, 2*ms)
			d.RecordResponse(there, 3*ms)
		}, true},
		"two zones are lost at a time": {func(d *Detector) {
			for range 30 {
				d.RecordResponse(2, ms)
			}
			for server := range 2 {
				d.RecordFailure(here, server, 2*ms)
				d.RecordFailure(3, 100+server, 2*ms)
				d.RecordResponse(2, 3*ms)
			}
		}, true},
		"no zones": {func(d *Detector) {
			for server := range 20 {
				d.RecordFailure(-1, server, 2*ms)
			}
		}, false},
	} {
		d := New(3 * second)
		c.play(d)
		if d.IsSuspected(here) != c.suspects || d.IsSuspected(there) {
			t.Errorf("%s: suspects %t, the other zone %t", name, d.IsSuspected(here), d.IsSuspected(there))
		}
	}
}

func TestASuspectedZoneIsTriedAgain(t *testing.T) {
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
			t.Errorf("%d s after the last failure, draw %g: avoids is %t", c.after/second, c.draw, !c.avoids)
		}
	}
	d.RecordResponse(0, 2*second)
	if d.ShouldAvoid(0, 2*second, 0) {
		t.Error("avoided though it has answered")
	}
}

// A zone like the others is suspected rarely, however often all servers fail.
func TestFalseAlarms(t *testing.T) {
	for _, rate := range []float64{0.01, 0.05, 0.125, 0.3, 0.6} {
		d, x, alarms := New(3*second), uint64(1), 0
		for n := range 100_000 {
			x = x*6364136223846793005 + 1442695040888963407
			zone, now := int(x>>33)%3, int64(n)*ms
			x = x*6364136223846793005 + 1442695040888963407
			if float64(x>>11)/(1<<53) < rate {
				d.RecordFailure(zone, n, now)
			} else {
				d.RecordResponse(zone, now)
			}
			if d.IsSuspected(zone) {
				alarms++
			}
		}
		if float64(alarms) > 2*falseAlarm*100_000 {
			t.Errorf("%d of 100000 attempts end with a suspected zone where %g fail everywhere", alarms, rate)
		}
	}
}
