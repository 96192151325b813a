package routing

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hollylever/fakes"
)

const (
	defaultDisconnects = 400                    // requests in CI; HOLLYLEVER_LEAVES sets another number
	maxLateSend        = 300 * time.Millisecond // after its client left nothing of a request may reach a server
)

// A disconnect may meet a request in any state. Clients send requests, wait a moment and disconnect, in all ways,
// before a server whose connections do not come up. Once the last has been gone for a while they do: whatever still
// waits would be sent then.
func TestRandomDisconnectsSendNothingLate(t *testing.T) {
	many := defaultDisconnects
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_LEAVES")); err == nil {
		many = n
	}
	const seed, side, round = 7, 20, 200
	asked, left, waiting, after, late := 0, 0, 0, 0, 0
	for r := 0; asked < many; r++ {
		at, hears := unacceptingServer(t)
		b := newBalancerBefore(t, at, map[string]any{"allowed.dialTimeout": 5000.0, "workloads.1.keepOrder": true})
		address := serveClients(t, b)
		var all sync.WaitGroup
		for k := range side {
			all.Add(1)
			go func() {
				defer all.Done()
				chance := rand.New(rand.NewPCG(seed, uint64(r*side+k)))
				for n := 0; n < round/side; {
					c, err := net.Dial("tcp", address)
					if err != nil {
						t.Error(err)
						return
					}
					for range min(round/side-n, 1+chance.IntN(3)) {
						workload := []string{"read", "report", "book"}[chance.IntN(3)]
						id := fmt.Sprint(k, "-", n)
						io.WriteString(c, fakes.Words("C.GET", fmt.Sprint("key-", chance.IntN(50)), id, "c="+workload+",t=acme,d=20000,k="+id))
						n++
					}
					time.Sleep(time.Duration(chance.IntN(20)) * time.Millisecond) // At random, not to wait for anything.
					clientDisconnects[chance.IntN(len(clientDisconnects))].disconnect(c.(*net.TCPConn))
					c.Close()
				}
			}()
		}
		all.Wait()
		asked += round
		<-time.After(maxLateSend)
		var came atomic.Int32
		hears(func(c net.Conn) {
			for in := redcon.NewReader(c); ; {
				if _, err := in.ReadCommand(); err != nil {
					return
				}
				came.Add(1)
			}
		})
		for end := time.Now().Add(eventTimeout); b.requestsHeld() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		late += int(came.Load())
		left, waiting, after = left+b.counted("left"), waiting+b.counted("left_waiting"), after+b.counted("sent_after_left")
	}
	t.Logf("seed %d: %d requests and what came in bursts; %d of them left, %d while they had no attempt under way; %d sent over 50 ms after they left, %d came over 300 ms after the last had",
		seed, asked, left, waiting, after, late)
	if late > 0 || after > 0 || left == 0 {
		t.Error("some are sent, or none left")
	}
}
