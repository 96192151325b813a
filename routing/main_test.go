package routing

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/pprof"
	"testing"
	"time"
)

// TestMain holds what is left at the end of all tests against what there was at the beginning: no goroutine and no descriptor
// may stay, however connections, watches and clients ended.
func TestMain(m *testing.M) {
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // What the runtime needs for any connection is there from now on.
		l.Close()
	}
	routines, descriptors := runtime.NumGoroutine(), open()
	code := m.Run()
	for end := time.Now().Add(noticed); runtime.NumGoroutine() > routines || open() > descriptors; time.Sleep(10 * time.Millisecond) {
		runtime.GC() // Closes what the stand-ins' scripts have let go of.
		if time.Now().After(end) {
			fmt.Printf("%d goroutines and %d descriptors are left; %d and %d there were\n", runtime.NumGoroutine(), open(), routines, descriptors)
			pprof.Lookup("goroutine").WriteTo(os.Stdout, 1)
			code = max(code, 1)
			break
		}
	}
	os.Exit(code)
}

// open counts descriptors.
func open() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(list)
}
