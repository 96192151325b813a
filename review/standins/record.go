// Package standins has the stand-ins of the review's cases: cache hosts, discovery, clients and the platform, as the
// operators' pages describe them. It uses the standard library only, and all addresses are on loopback.
package standins

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Record is record.txt: what was sent, answered and run, with the time since the start in milliseconds.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord begins the file that RECORD names.
func NewRecord() *Record {
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		CannotRun(err)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		CannotRun("it was ended from outside")
	}()
	return &Record{file: file, start: time.Now()}
}

// Now is the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Printf writes a line.
func (r *Record) Printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f  "+format+"\n", append([]any{float64(r.Now().Microseconds()) / 1000}, values...)...)
}

// Trouble tells whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cleanups []func()

// AtEnd has a function called before the program ends.
func AtEnd(f func()) { cleanups = append(cleanups, f) }

// Finish ends the program: with 1 if a rule was broken, else with 0.
func Finish(r *Record, broken []string) {
	for _, b := range broken {
		r.Printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	code := 0
	if len(broken) > 0 {
		code = 1
	} else {
		r.Printf("the rule held")
		fmt.Println("the rule held")
	}
	end(code)
}

// CannotRun ends the program with 2.
func CannotRun(why any) {
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	end(2)
}

func end(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}
