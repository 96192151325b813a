package monotime

import (
	"regexp"
	"testing"
	"time"
)

// The age of a snapshot and the order of a balancer's processes are determined by this clock. If it went backwards, or
// the boot ID differed from call to call, a process would refuse the snapshot of the previous one.
func TestClockAdvancesUnderOneBootID(t *testing.T) {
	before := Now()
	if before <= 0 {
		t.Fatalf("%d ns since boot, want more than 0", before)
	}
	for range 1000 {
		now := Now()
		if now < before {
			t.Fatalf("clock went backwards from %d to %d", before, now)
		}
		before = now
	}
	if before > int64(100*365*24*time.Hour) {
		t.Errorf("%d since boot is over 100 years: is the unit nanoseconds?", before)
	}
	if id := BootID(); !regexp.MustCompile(`^[0-9a-f-]{36}$`).MatchString(id) || id != BootID() {
		t.Errorf("boot ID %q, then %q", id, BootID())
	}
}
