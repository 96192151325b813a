package server

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// During a move, balancers of the old shape and of the new stand before the same hosts, which take six retrievals at
// a time. All rules hold for them together, with a host that drains and one that comes back cold, and neither kind
// starves the other.
func TestBothDeploymentShapesShareHosts(t *testing.T) {
	t.Parallel()
	const places, service, clients, asks = 6, 15 * time.Millisecond, 8, 200
	const grace, within = 250 * time.Millisecond, 3 * time.Second
	old := settingsWith(`"balancers":4,"invariants":{"askEvery":10000,"drainGrace":250,"startCapacity":0.2,"warmUp":20000,
		"fallMultiple":2.5,"tipAfter":3000}`)
	young := settingsWith(`"balancers":4,"invariants":{"askEvery":10000,"drainGrace":250,"startCapacity":0.2,"warmUp":20000,
		"fallMultiple":2.5,"tipAfter":3000},"zones":["z","y"],"zone":"y","weights":"live","registryMode":"automatic",
		"report":{"source":"piggyback","fields":["served_ps","pending","cpu_share"]}`)
	var mu sync.Mutex
	ran, from, drains := map[string]int{}, map[string]int{}, [4]time.Time{}
	var begun [4][]time.Time
	var at [4]string
	for n := range at {
		address, came := startHost(t)
		at[n] = address
		held := 0
		go func() {
			for c := range came {
				mu.Lock()
				if stop := drains[n]; !stop.IsZero() && time.Since(stop) > grace+50*time.Millisecond {
					t.Errorf("host %d is sent %q after its grace", n, c.Words)
				}
				begun[n] = append(begun[n], time.Now())
				report := fmt.Sprintf("served_ps=%d,pending=%d,cpu_share=%.2f", len(begun[n]), 0, float64(held)/places)
				if held == places {
					mu.Unlock()
					c.Reply("-BUSY " + report + "\r\n")
					continue
				}
				held++
				ran[c.Words[2]]++
				from[c.Words[2][:1]]++
				breaks := len(begun[n])%25 == 0 // It has run, and nobody hears of it.
				mu.Unlock()
				time.AfterFunc(service, func() {
					mu.Lock()
					held--
					mu.Unlock()
					if breaks {
						c.Close()
						return
					}
					c.Reply(fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$%d\r\n%s\r\n", len(c.Words[2]), c.Words[2], len(report), report))
				})
			}
		}()
	}
	row := func(n int, status string, weight float64, since int64) string {
		return fmt.Sprintf(`{"name":"s%d","address":%q,"zone":%q,"type":"std","group":0,"status":%q,"weight":%g,"since_ms":%d}`,
			n, at[n], []string{"z", "y"}[n%2], status, weight, since)
	}
	finder, calls := startDiscovery(t)
	var watches []call
	known := endpointList(0, true, row(0, "Ready", 1, 0), row(1, "Ready", 1, 0), row(2, "Ready", 1, 0))
	var programs [4]*program
	for n := range programs {
		settings := maps.Clone([]map[string]any{old, young}[n%2])
		settings["discovery"] = finder
		programs[n] = startProgram(t, known, settings)
		watches = append(watches, receive(t, calls, "a watch"))
	}
	say := func(index int, whole bool, rows ...string) {
		for _, w := range watches {
			w.SendLine(endpointList(index, whole, rows...))
		}
	}
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	go func() {
		for range alive.C { // As discovery does while nothing changes.
			for _, w := range watches {
				w.SendLine("")
			}
		}
	}()
	say(1, true, row(0, "Ready", 0.4, 0), row(1, "Ready", 0.9, 0), row(2, "Ready", 0.2, 0))

	var settled, asked [2]atomic.Int64
	var everybody sync.WaitGroup
	part := make(chan int, 4*clients)
	for n := range 4 * clients {
		p, shape := programs[n%4], n%4%2
		everybody.Add(1)
		go func() {
			defer everybody.Done()
			c := p.connect()
			for k := range asks {
				id := fmt.Sprintf("%d-%d-%d", shape, n, k)
				workload := []string{"read", "read", "report", "book"}[k%4]
				began := time.Now()
				c.send("C.GET", fmt.Sprintf("%016x", (n*asks+k)*7919), id, "c="+workload+",t=acme,d=3000")
				answer, err := readMessage(c.in)
				asked[shape].Add(1)
				switch {
				case err != nil || len(answer) != 1 || time.Since(began) > within:
					t.Errorf("%s is lost: %q, %v", id, answer, err)
					return
				case answer[0] == id:
					settled[shape].Add(1)
				case strings.HasPrefix(answer[0], "-BUSY"):
					<-time.After(service) // As clients do: one that asks on at once is dismissed until it has asked all.
				case !strings.HasPrefix(answer[0], "-ERR given up"):
					t.Errorf("%s is answered %q", id, answer)
				}
				if k == asks/4 || k == asks/2 {
					part <- k
				}
			}
		}()
	}
	for range 2 * clients {
		receive(t, part, "a quarter of the retrievals")
	}
	mu.Lock()
	cold := time.Now()
	mu.Unlock()
	say(2, false, row(3, "Ready", 1, cold.UnixMilli()))
	for range 4 * clients {
		receive(t, part, "half of the retrievals")
	}
	mu.Lock()
	drains[0] = time.Now()
	mu.Unlock()
	say(3, false, row(0, "Terminating", 0.4, 0))
	everybody.Wait()

	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if k, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:]); k%4 == 3 && n > 1 {
			t.Errorf("the one-shot %s ran %d times", id, n)
		}
	}
	warm, young3 := 0, 0 // begun in the first second after the cold host came
	for n := range begun {
		for _, when := range begun[n] {
			if since := when.Sub(cold); since > 0 && since < time.Second && n == 3 {
				young3++
			} else if since > 0 && since < time.Second {
				warm++
			}
		}
	}
	if can := float64(warm) / 3 * 0.25; float64(young3) > 2.5*can+8 || warm == 0 {
		t.Errorf("%d to a cold host that can do about %.0f, while the others got %d", young3, can, warm)
	}
	for shape, name := range []string{"old", "new"} {
		got, of := settled[shape].Load(), asked[shape].Load()
		t.Logf("%s shape: %d of %d settled; hosts began %d for it", name, got, of, from[strconv.Itoa(shape)])
		if got < of*8/10 || from[strconv.Itoa(shape)] < from[strconv.Itoa(1-shape)]*8/10 {
			t.Errorf("the %s shape starves: %d of %d settled", name, got, of)
		}
	}
	if len(begun[3]) == 0 {
		t.Error("nothing reached the host that came back")
	}
}
