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
	maxLateSend        = 300 * time.Millisecond // how long after its client's disconnect a request may still reach a server
)

// A client may disconnect while its request is in any state. Here clients send requests, wait a moment and disconnect, in
// all ways, while connections to the server cannot be established. maxLateSend after the last disconnect the server accepts
// connections: any request that still waits would be sent then.
func TestRandomDisconnectsSendNothingLate(t *testing.T) {
	requests := defaultDisconnects
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_LEAVES")); err == nil {
		requests = n
	}
	const seed, clients, perRound = 7, 20, 200
	sent, disconnected, waiting, sentAfter, late := 0, 0, 0, 0, 0
	for r := 0; sent < requests; r++ {
		address, accept := unacceptingServer(t)
		b := newBalancerBefore(t, address, map[string]any{"allowed.dialTimeout": 5000.0, "workloads.1.keepOrder": true})
		balancerAddress := serveClients(t, b)
		var running sync.WaitGroup
		for k := range clients {
			running.Add(1)
			go func() {
				defer running.Done()
				chance := rand.New(rand.NewPCG(seed, uint64(r*clients+k)))
				for n := 0; n < perRound/clients; {
					c, err := net.Dial("tcp", balancerAddress)
					if err != nil {
						t.Error(err)
						return
					}
					for range min(perRound/clients-n, 1+chance.IntN(3)) {
						workload := []string{"read", "report", "book"}[chance.IntN(3)]
						id := fmt.Sprint(k, "-", n)
						io.WriteString(c, fakes.EncodeCommand("C.GET", fmt.Sprint("key-", chance.IntN(50)), id, "c="+workload+",t=acme,d=20000,k="+id))
						n++
					}
					time.Sleep(time.Duration(chance.IntN(20)) * time.Millisecond) // A random delay, not a wait for an event.
					clientDisconnects[chance.IntN(len(clientDisconnects))].disconnect(c.(*net.TCPConn))
					c.Close()
				}
			}()
		}
		running.Wait()
		sent += perRound
		<-time.After(maxLateSend)
		var received atomic.Int32
		accept(func(c net.Conn) {
			for reader := redcon.NewReader(c); ; {
				if _, err := reader.ReadCommand(); err != nil {
					return
				}
				received.Add(1)
			}
		})
		for end := time.Now().Add(eventTimeout); b.requestsHeld() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		late += int(received.Load())
		disconnected, waiting, sentAfter = disconnected+b.counted("left"), waiting+b.counted("left_waiting"), sentAfter+b.counted("sent_after_left")
	}
	t.Logf("seed %d: %d requests, besides those in bursts; %d disconnects, %d of them with no attempt in flight; %d attempts sent over 50 ms after the disconnect, %d requests received over 300 ms after the last one",
		seed, sent, disconnected, waiting, sentAfter, late)
	if late > 0 || sentAfter > 0 || disconnected == 0 {
		t.Error("requests were sent after the disconnect, or no request ended by a disconnect")
	}
}
