package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// entry returns an entry of the list.
func (d *discovery) entry(name string) entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[name]
}

// load has clients read keys, each on a connection of its own, one request every so often. stop ends them, and returns
// how many answers of each kind they got.
func (s *stage) load(address string, clients int, every time.Duration, workload string, patience time.Duration) (stop func() map[string]int) {
	var all sync.WaitGroup
	var isOver atomic.Bool
	var mu sync.Mutex
	answers := map[string]int{}
	for n := range clients {
		all.Go(func() {
			caller := caller{address: address}
			for k := 0; !isOver.Load(); k++ {
				next := time.Now().Add(every)
				wanted, id := key(n*7+k%50), newID()
				got, err := caller.ask(words("C.GET", wanted, id, fmt.Sprintf("c=%s,d=%d", workload, patience.Milliseconds())), patience+time.Second)
				kind := "served"
				switch {
				case err != nil:
					kind = "none"
				case got == "" || got[0] == '-':
					kind = got
				case got != wanted+"@"+id:
					kind = "wrong: " + got
				}
				mu.Lock()
				answers[kind]++
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
			caller.close()
		})
	}
	return func() map[string]int {
		isOver.Store(true)
		all.Wait()
		return answers
	}
}
