// Package monotime reads the machine's clock since its boot (CLOCK_BOOTTIME). All processes of the machine read the
// same time; it goes on while they or the machine are suspended, and is not stepped with the wall clock. Spans between
// two processes are measured by it.
package monotime

import (
	"bytes"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Now returns the time since the machine's boot in nanoseconds; 0 where the system does not tell.
func Now() int64 {
	var sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil {
		return 0
	}
	return sinceBoot.Nano()
}

// BootID returns the kernel's name for this boot of the machine; "" where the system does not tell. Two times of Now
// can be compared only under the same one. It reads the file once; any goroutine may call it.
var BootID = sync.OnceValue(func() string {
	content, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return string(bytes.TrimSpace(content))
})
