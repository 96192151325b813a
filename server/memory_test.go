package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hollylever/fakes"
)

// valueBytes is the size of a value that fits into an ordinary message.
const valueBytes = 60000

// startValueHost is a cache host that answers every command after a delay with a value of so many bytes.
func startValueHost(t *testing.T, delay time.Duration, size int) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	reply := valueReply(strings.Repeat("v", size))
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				for in := redcon.NewReader(c); ; {
					if _, err := in.ReadCommand(); err != nil {
						return
					}
					time.Sleep(delay)
					io.WriteString(c, reply)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// watchMemory samples the anonymous memory of processes together until stop is called, which returns the highest sample
// in MB. pids returns which processes there are.
func watchMemory(pids func() []int) (stop func() float64) {
	done, highest := make(chan struct{}), make(chan float64)
	go func() {
		most := 0.0
		for ticker := time.NewTicker(2 * time.Millisecond); ; {
			select {
			case <-ticker.C:
				sum := 0.0
				for _, pid := range pids() {
					sum += anonymousMemory(pid)
				}
				most = max(most, sum)
			case <-done:
				highest <- most
				return
			}
		}
	}()
	return func() float64 { close(done); return <-highest }
}

// anonymousMemory is that of a process now, in MB; 0 once it has ended.
func anonymousMemory(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, line, _ := strings.Cut(string(text), "RssAnon:")
	kib := 0.0
	fmt.Sscan(line, &kib)
	return kib / 1024
}

// checkMemory fails the test if the highest sample of anonymous memory is over the limit, or if there is none.
func checkMemory(t *testing.T, most float64, limitMB int) {
	t.Helper()
	t.Logf("%.1f MB of %d", most, limitMB)
	if most == 0 || most > float64(limitMB) {
		t.Errorf("the processes had %.1f MB of anonymous memory at the most, want some, and at most %d", most, limitMB)
	}
}

// flood is what each of many clients sends at once.
type flood struct {
	commands int                                    // that each client sends
	command  func(client, round, number int) string // the text of one of them
	unread   bool                                   // the clients do not read what they are sent
	delay    time.Duration                          // of the cache host
	value    int                                    // bytes of the cache host's values
}

func floodID(client, round, number int) string { return fmt.Sprintf("%d-%d-%d", client, round, number) }

var longValue = strings.Repeat("v", valueBytes)

var floods = map[string]flood{
	"writes of an unknown class": {commands: 300, value: 1, command: func(client, round, number int) string {
		return encodeCommand("C.SET", "k", floodID(client, round, number), "c=novel,d=1500", longValue)
	}},
	"writes": {commands: 300, value: 1, delay: 20 * time.Millisecond, command: func(client, round, number int) string {
		return encodeCommand("C.SET", floodID(client, round, number), floodID(client, round, number), "c=report,d=1500,k=5c", longValue)
	}},
	"short reads of a slow host": {commands: 300, value: 1, delay: 700 * time.Millisecond, command: func(client, round, number int) string {
		return encodeCommand("C.GET", floodID(client, round, number), floodID(client, round, number), "c=read,t=acme,d=1500")
	}},
	"long values": {commands: 100, value: valueBytes, command: func(client, round, number int) string {
		return encodeCommand("C.GET", floodID(client, round, number), floodID(client, round, number), "c=read,t=acme,d=1500")
	}},
	"long values that are not read": {commands: 100, value: valueBytes, unread: true, command: func(client, round, number int) string {
		return encodeCommand("C.GET", floodID(client, round, number), floodID(client, round, number), "c=read,t=acme,d=1500")
	}},
	"writes that break off": {commands: 1, unread: true, value: 1, command: func(client, round, number int) string {
		text := encodeCommand("C.SET", "k", floodID(client, round, number), "c=report,d=1500,k=5c", longValue)
		return text[:len(text)-10]
	}},
	"unknown commands": {commands: 5000, value: 1, command: func(client, round, number int) string { return encodeCommand("NOVEL") }},
}

const (
	floodDuration = 1500 * time.Millisecond
	roundDuration = time.Second // in which a client sends its commands and reads the replies; then it connects anew
)

// run has so many clients send the flood, again and again, for floodDuration.
func (f flood) run(address string, clients int) {
	end := time.Now().Add(floodDuration)
	var all sync.WaitGroup
	for client := range clients {
		all.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				f.runRound(address, client, round)
			}
		})
	}
	all.Wait()
}

func (f flood) runRound(address string, client, round int) {
	c, err := net.DialTimeout("tcp", address, roundDuration)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(roundDuration))
	written := make(chan struct{})
	go func() {
		defer close(written)
		for number := range f.commands {
			if _, err := io.WriteString(c, f.command(client, round, number)); err != nil {
				return
			}
		}
	}()
	if f.unread {
		<-written
		time.Sleep(roundDuration / 2)
		return
	}
	replies := bufio.NewReader(c)
	for range f.commands {
		if _, err := readMessage(replies); err != nil {
			return
		}
	}
}

// memoryLimits are limits between which those of deployments are.
var memoryLimits = []struct{ memoryMB, descriptors, clients int }{{32, 256, 100}, {32, 1024, 400}, {64, 512, 200}, {192, 1024, 400}}

// Hundreds of clients send much at once, so that more than the process may use is held for them before it is counted:
// the process is killed for its memory, and every other client with it.
func TestFloodsKeepWithinMemory(t *testing.T) {
	for name, f := range floods {
		for _, limits := range memoryLimits {
			t.Run(fmt.Sprintf("%s/%d MB, %d descriptors", name, limits.memoryMB, limits.descriptors), func(t *testing.T) {
				at := startValueHost(t, f.delay, f.value)
				other := startValueHost(t, f.delay, f.value)
				p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready"), listEntry("other", other, "Ready")), map[string]any{
					"limits": map[string]any{"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": limits.descriptors}})
				stop := watchMemory(func() []int { return []int{p.cmd.Process.Pid} })
				f.run(p.address, limits.clients)
				checkMemory(t, stop(), limits.memoryMB)
				p.connect().send("PING").expectReply("+PONG")
			})
		}
	}
}

// Two processes of one balancer share its memory during an upgrade. Clients that send much at once to both must not
// drive them over it together, however the clients are spread.
func TestFloodsDuringUpgradeKeepWithinMemory(t *testing.T) {
	const memoryMB, descriptors, clients = 32, 512, 200
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			at, other := startValueHost(t, f.delay, f.value), startValueHost(t, f.delay, f.value)
			platform, err := fakes.NewPlatform(t.TempDir(), fakes.Setup{Program: os.Args[0], Variables: []string{programVariable + "=1"}, Core: -1,
				Known: endpointList(0, true, listEntry("s", at, "Ready"), listEntry("other", other, "Ready")), Discovery: "127.0.0.1:1",
				Limits: fakes.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: descriptors}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(platform.Close)
			start := func() *fakes.Process {
				p, err := platform.Start()
				if err == nil {
					t.Cleanup(p.Kill)
					err = p.Ready(testTimeout)
				}
				if err != nil {
					t.Fatal(err)
				}
				return p
			}
			var mu sync.Mutex
			pids := []int{start().Cmd.Process.Pid}
			stop := watchMemory(func() []int {
				mu.Lock()
				defer mu.Unlock()
				return pids
			})
			var flooding sync.WaitGroup
			flooding.Go(func() { f.run(platform.Address, clients) })
			young := start()
			mu.Lock()
			pids = append(pids, young.Cmd.Process.Pid)
			mu.Unlock()
			flooding.Wait()
			checkMemory(t, stop(), memoryMB)
		})
	}
}
