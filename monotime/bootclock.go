// Package bootclock is the machine's clock since it was started: it is the same for all processes, goes on while they or the machine
// stand still, and is not stepped with the wall clock. Spans between processes are told by it.
package monotime

import (
	"bytes"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

const idFile = "/proc/sys/kernel/random/boot_id"

// Now is nanoseconds since the machine was started; 0 where the system does not tell.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return t.Nano()
}

// ID names this start of the machine; "" where the system does not tell. Times of Now under another one mean nothing.
var BootID = sync.OnceValue(func() string {
	text, err := os.ReadFile(idFile)
	if err != nil {
		return ""
	}
	return string(bytes.TrimSpace(text))
})
