package fakes

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/pprof"
	"time"
)

// LeftOver runs tests and holds what is left at their end against what there was at the beginning: no goroutine and no descriptor
// may stay, however connections, watches and clients ended. It gives the exit code.
func LeftOver(tests interface{ Run() int }) (code int) {
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // What the runtime needs for any connection is there from now on.
		l.Close()
	}
	routines, descriptors := runtime.NumGoroutine(), open()
	code = tests.Run()
	for end := time.Now().Add(3 * time.Second); runtime.NumGoroutine() > routines || open() > descriptors; time.Sleep(10 * time.Millisecond) {
		runtime.GC() // Closes what scripts have let go of.
		if time.Now().After(end) {
			fmt.Printf("%d goroutines and %d descriptors are left; %d and %d there were\n", runtime.NumGoroutine(), open(), routines, descriptors)
			_ = pprof.Lookup("goroutine").WriteTo(os.Stdout, 1)
			return max(code, 1)
		}
	}
	return code
}

// open counts descriptors.
func open() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(list)
}
