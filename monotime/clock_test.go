package monotime

import (
	"regexp"
	"testing"
	"time"
)

// A snapshot's age and the order of a balancer's processes are told by this clock. Were it to go back, or its boot to
// be named otherwise at each call, a process would refuse what the one before it left.
func TestClockAdvancesUnderOneBootID(t *testing.T) {
	before := Now()
	if before <= 0 {
		t.Fatalf("%d ns since the boot", before)
	}
	for range 1000 {
		now := Now()
		if now < before {
			t.Fatalf("went back from %d to %d", before, now)
		}
		before = now
	}
	if before > int64(100*365*24*time.Hour) {
		t.Errorf("%d ns since the boot: not nanoseconds?", before)
	}
	if id := BootID(); !regexp.MustCompile(`^[0-9a-f-]{36}$`).MatchString(id) || id != BootID() {
		t.Errorf("boot ID %q, then %q", id, BootID())
	}
}
