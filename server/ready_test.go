package server

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	manyServers = 1024
	readyWithin = 6 * time.Second // The terms name 10 s, or 6 s where a day ends sooner.
)

// largeEndpointList is a list of as many servers as a deployment may have; nobody listens at their addresses.
func largeEndpointList() string {
	entries := make([]string, manyServers)
	for n := range entries {
		entries[n] = listEntry(fmt.Sprint("s-", n), fmt.Sprintf("127.1.%d.%d:1", n/256, n%256), "Ready")
	}
	return endpointList(7, true, entries...)
}

// Discovery is down, silent, overloaded or slow: a process that starts with a list is ready at once.
func TestReadyWithoutDiscovery(t *testing.T) {
	t.Parallel()
	for name, discoveryIs := range map[string]func(t *testing.T) string{
		"down": func(*testing.T) string { return "127.0.0.1:1" },
		"silent": func(t *testing.T) string { // The kernel connects; nobody answers.
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			return l.Addr().String()
		},
		"overloaded": func(t *testing.T) string {
			address, calls := startDiscovery(t)
			go func() {
				for one := range calls {
					one.SendLine(unavailable)
				}
			}()
			return address
		},
		"slow": func(t *testing.T) string { // The list begins and does not end.
			address, calls := startDiscovery(t)
			go func() {
				for one := range calls {
					one.SendText(endpointList(8, true)[:5])
				}
			}()
			return address
		},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			settings := settingsWith(fmt.Sprintf(`"balancers":%d`, manyServers))
			settings["discovery"] = discoveryIs(t)
			p := startProgram(t, largeEndpointList(), settings, "TMPDIR="+t.TempDir())
			p.connect().send("PING").expectReply("+PONG")
			if took := time.Since(began); took > readyWithin {
				t.Errorf("ready after %v", took)
			} else {
				t.Log("ready after", took)
			}
		})
	}
}

// A process starts while its configuration is being replaced: it reads the complete file once it is there.
func TestStartWhileTheConfigurationIsWritten(t *testing.T) {
	t.Parallel()
	good, err := os.ReadFile(configurationFile(t, map[string]any{"known": json.RawMessage(largeEndpointList())}))
	if err != nil {
		t.Fatal(err)
	}
	for name, first := range map[string][]byte{"empty": nil, "half": good[:len(good)/2]} {
		t.Run(name, func(t *testing.T) {
			// A pipe tells when the program has read what is there first; the file takes its place then.
			file := filepath.Join(t.TempDir(), "config.json")
			if err := unix.Mkfifo(file, 0o600); err != nil {
				t.Fatal(err)
			}
			p := launch(t, file, programCommand(file))
			into, err := os.OpenFile(file, os.O_WRONLY, 0) // Until it reads.
			if err != nil {
				t.Fatal(err)
			}
			whole := file + ".new"
			if err = os.WriteFile(whole, good, 0o600); err == nil {
				err = os.Rename(whole, file)
			}
			if err != nil {
				t.Fatal(err)
			}
			into.Write(first)
			into.Close()
			var line struct{ Listen string }
			json.Unmarshal([]byte(p.waitForLog(`"message":"serving"`)), &line)
			p.address = line.Listen
			p.connect().send("PING").expectReply("+PONG")
		})
	}
}

// All hosts of a stale list have gone, and requests are attempted there. The first request after discovery lists other
// hosts is served: nothing of before delays it.
func TestStaleEndpointListDelaysNothing(t *testing.T) {
	t.Parallel()
	address, calls := startDiscovery(t)
	settings := settingsWith(`"balancers":300`)
	settings["discovery"], settings["mgmt"] = address, "127.0.0.1:0"
	p := startProgram(t, largeEndpointList(), settings)
	call := receive(t, calls, "a call")
	c := p.connect()
	const asks = 10
	for n := range asks {
		c.send("C.GET", "k", strconv.Itoa(n), "c=read,t=acme,d=100").expectReply("-BUSY")
	}
	at, came := startHost(t)
	call.SendLine(endpointList(8, true, listEntry("there", at, "Ready")))
	p.waitForMetric("targets", 1)
	c.send("C.GET", "k", "served", "c=read,t=acme,d=3000")
	receive(t, came, "the request").Reply(valueReply("v"))
	c.expectReply("v")
}
