// Package monotime reads the monotonic clock that counts from the machine's boot (CLOCK_BOOTTIME). It is the same for
// all processes of the machine, continues while they or the machine are suspended, and is not affected by steps of the
// wall clock. It is used to measure intervals that span processes.
package monotime

import (
	"bytes"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Now returns the time since the machine's boot in nanoseconds, or 0 if the system does not provide it.
func Now() int64 {
	var sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil {
		return 0
	}
	return sinceBoot.Nano()
}

// BootID returns the kernel's ID of the machine's current boot, or "" if the system does not provide it. Two results of
// Now are comparable only if they were taken under the same boot ID. BootID reads the file once and is safe for
// concurrent use.
var BootID = sync.OnceValue(func() string {
	content, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return string(bytes.TrimSpace(content))
})
