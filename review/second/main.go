package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 115 * time.Second

// cases holds the cases by number. Each returns whether the rule held.
var cases = map[string]func(s *stage) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case, from the root of the repository, and writes its record to a folder.
func play(run func(s *stage) int, folder string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &stage{root: root, folder: temporary, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file)}
	var once sync.Once
	end := func() { once.Do(s.end) }
	defer end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		end()
		os.Exit(failed)
	}()
	defer func() {
		if cause := recover(); cause != nil {
			s.say("the case could not run: %v", cause)
			fmt.Println("the case could not run:", cause)
			code = failed
		}
	}()
	code = run(s)
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[code]
	s.say("%s", verdict)
	fmt.Println(verdict)
	return code
}
