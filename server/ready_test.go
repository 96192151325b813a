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

// manyKnown is a list of as many servers as a deployment may have; nobody listens at their addresses.
func manyKnown() string {
	entries := make([]string, manyServers)
	for n := range entries {
		entries[n] = entry(fmt.Sprint("s-", n), fmt.Sprintf("127.1.%d.%d:1", n/256, n%256), "Ready")
	}
	return list(7, true, entries...)
}

// A process that starts with a list is ready whatever discovery does: nothing of it is waited for.
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
			address, calls := discovery(t)
			go func() {
				for one := range calls {
					one.Say(unavailable)
				}
			}()
			return address
		},
		"slow": func(t *testing.T) string { // The list begins and does not end.
			address, calls := discovery(t)
			go func() {
				for one := range calls {
					one.Give(list(8, true)[:5])
				}
			}()
			return address
		},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			settings := with(fmt.Sprintf(`"balancers":%d`, manyServers))
			settings["discovery"] = discoveryIs(t)
			p := start(t, manyKnown(), settings, "TMPDIR="+t.TempDir())
			p.client().ask("PING").answers("+PONG")
			if took := time.Since(began); took > readyWithin {
				t.Errorf("ready after %v", took)
			} else {
				t.Log("ready after", took)
			}
		})
	}
}

// A process that starts while its configuration is being written, by whoever moves discovery, takes the whole file once it is there.
func TestStartWhileTheConfigurationIsWritten(t *testing.T) {
	t.Parallel()
	good, err := os.ReadFile(fileWith(t, map[string]any{"known": json.RawMessage(manyKnown())}))
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
			p := begun(t, file, programWith(file))
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
			json.Unmarshal([]byte(p.logged(`"message":"serving"`)), &line)
			p.address = line.Listen
			p.client().ask("PING").answers("+PONG")
		})
	}
}

// A process whose list is stale tries the hosts on it for each request, though none is there any more, and serves with the first request
// after discovery has told it of others: nothing that it met before holds it up.
func TestAStaleListHoldsNothingUp(t *testing.T) {
	t.Parallel()
	address, calls := discovery(t)
	settings := with(`"balancers":300`)
	settings["discovery"], settings["mgmt"] = address, "127.0.0.1:0"
	p := start(t, manyKnown(), settings)
	call := next(t, calls, "a call")
	c := p.client()
	const asks = 10
	for n := range asks {
		c.ask("C.GET", "k", strconv.Itoa(n), "c=read,t=acme,d=100").answers("-BUSY")
	}
	at, came := host(t)
	call.Say(list(8, true, entry("there", at, "Ready")))
	p.figure("targets", 1)
	c.ask("C.GET", "k", "served", "c=read,t=acme,d=3000")
	next(t, came, "the request").Say(settled("v"))
	c.answers("v")
}
