package server

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hollylever/fakes"
	"hollylever/routing"
)

// large is how many cache hosts, balancers and zones the tests of size have.
const large = 1024

// farm is many cache hosts, each at an address of its own of 21 characters, with a name as long as may be and a zone of
// its own. All answer at once.
type farm struct {
	entries []string // of the list, ready

	mu    sync.Mutex
	asked map[int]int // requests by host
}

func farmName(kind string, n int) string {
	name := fmt.Sprint(kind, "-", n, "-")
	return name + strings.Repeat("x", routing.MaxEndpointName-len(name))
}

func farmZone(n int) string { return fmt.Sprintf("zone-%04d", n) }

func newFarm(t *testing.T, kind string, subnet int) *farm {
	t.Helper()
	f := &farm{asked: map[int]int{}}
	for n := range large {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", subnet, 100+n/100, 100+n%100))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go f.serve(n, l)
		f.entries = append(f.entries, fakes.EntryIn(farmZone(n), farmName(kind, n), l.Addr().String(), "std", "Ready", 1, 0))
	}
	return f
}

func (f *farm) serve(n int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for in := redcon.NewReader(c); ; {
				if _, err := in.ReadCommand(); err != nil {
					return
				}
				f.mu.Lock()
				f.asked[n]++
				f.mu.Unlock()
				fmt.Fprint(c, valueReply("v"))
			}
		}()
	}
}

// reached is how many hosts were asked since the last time.
func (f *farm) reached() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.asked)
	clear(f.asked)
	return n
}

// as is the farm's list under another status.
func (f *farm) as(status string) []string {
	all := make([]string, len(f.entries))
	for n, entry := range f.entries {
		all[n] = strings.Replace(entry, `"Ready"`, strconv.Quote(status), 1)
	}
	return all
}

// largeSettings are the usual ones with as many balancers, zones, classes and tenants as there are hosts.
func largeSettings(t *testing.T, invariants string) string {
	var zones, tenants []string
	for n := range large {
		zones, tenants = append(zones, farmZone(n)), append(tenants, fmt.Sprintf(`{"name":"tenant-%d","quotaRps":100000}`, n))
	}
	names, err := json.Marshal(zones)
	if err != nil {
		t.Fatal(err)
	}
	changed := defaultSettings
	for old, now := range map[string]string{`"balancers":1`: fmt.Sprintf(`"balancers":%d`, large), `"zones":["z"]`: `"zones":` + string(names),
		`{"name":"acme","quotaRps":100000}`: strings.Join(tenants, ","), `"invariants":{`: `"invariants":{` + invariants} {
		if !strings.Contains(changed, old) {
			t.Fatalf("the settings have no %s", old)
		}
		changed = strings.Replace(changed, old, now, 1)
	}
	return changed
}

// largeBalancer is the program before a scripted discovery, with a list that is empty yet.
func largeBalancer(t *testing.T, invariants string) (p *program, watch fakes.Call) {
	t.Helper()
	place := t.TempDir()
	at, calls := startDiscovery(t)
	p = startProgram(t, endpointList(0, true), map[string]any{"settings": json.RawMessage(largeSettings(t, invariants)), "discovery": at, "mgmt": "127.0.0.1:0",
		"limits": map[string]any{"cores": 1.0, "memory_mb": largeMemory, "sockets": 512}}, "TMPDIR="+place)
	p.place = place
	return p, receive(t, calls, "a watch")
}

const (
	some        = 40 // hosts that are taken out one by one
	largeMemory = 64 // MB, in the settings of these tests
	startMemory = 6  // MB of anonymous pages, before there is a list
)

// resident is what the program has of memory, in MB: anonymous pages now (the others are of the program's own file),
// and all at the most.
func (p *program) resident() (now, most float64) {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		kib := 0.0
		fmt.Sscan(value, &kib)
		switch name {
		case "RssAnon":
			now = kib / 1024
		case "VmHWM":
			most = kib / 1024
		}
	}
	if err != nil || now == 0 || most == 0 {
		p.t.Fatal(now, most, err)
	}
	return now, most
}

// serves asks for many keys, which all have to be served, and tells the answers that were none.
func (p *program) serves(requests int) (refused int) {
	p.t.Helper()
	c := p.connect()
	for n := range requests {
		c.send("C.GET", fmt.Sprint("key-", n), fmt.Sprint(time.Now().UnixNano()), fmt.Sprintf("c=read,t=tenant-%d,d=3000", n%large))
		got, err := readMessage(c.in)
		if err != nil {
			p.t.Fatal(err)
		}
		if len(got) != 1 || got[0] != "v" {
			p.t.Logf("request %d is answered %q", n, got)
			refused++
		}
	}
	return refused
}

// bansAll takes all hosts of a farm out by the file that the processes of one balancer share, as another of them would.
func (p *program) bansAll(t *testing.T, kind string) {
	t.Helper()
	var names []string
	for n := range large {
		names = append(names, farmName(kind, n))
	}
	text, err := json.Marshal(names)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(p.place, "hollylever.bans")
	if err := os.WriteFile(file+".test", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".test", file); err != nil {
		t.Fatal(err)
	}
}

// byHand takes hosts out or back by the admin endpoint, one by one.
func (p *program) byHand(word, kind string, hosts int) {
	p.t.Helper()
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range hosts {
		answer, err := client.Post("http://"+p.mgmt+"/cache-hosts/"+word+"/"+url.PathEscape(farmName(kind, n)), "", nil)
		if err != nil {
			p.t.Fatal(err)
		}
		if answer.Body.Close(); answer.StatusCode != http.StatusOK {
			p.t.Fatalf("host %d of %s: %s is answered %s", n, kind, word, answer.Status)
		}
	}
}

// logsDrains reads the log until it has named so many servers that drain.
func (p *program) logsDrains(want int) {
	p.t.Helper()
	for named := map[string]bool{}; len(named) < want; {
		var line struct{ Draining []string }
		if err := json.Unmarshal([]byte(p.waitForLog(`"message":"servers changed"`)), &line); err != nil {
			p.t.Fatal(err)
		}
		for _, name := range line.Draining {
			named[name] = true
		}
	}
}

// The list has 1,024 hosts, each in a zone of its own. All of them drain at once while as many new ones are listed, all
// of which are then ejected by hand, and more beside them.
func TestAThousandServers(t *testing.T) {
	t.Parallel()
	thousandServers(t)
}

// Through all of TestAThousandServers memory stays within the limit, and at the start within the least that a
// configuration may state.
func TestMemoryOfAThousandServers(t *testing.T) {
	t.Parallel()
	start, now, most := thousandServers(t)
	t.Logf("%.1f MB at the start, %.1f at the end, %.1f at the most", start, now, most)
	if start > startMemory {
		t.Errorf("%.1f MB at the start", start)
	}
	if most > largeMemory {
		t.Errorf("%.1f MB at the most", most)
	}
}

// thousandServers runs that story and returns the process's memory, in MB: at the start, at the end, and the most.
func thousandServers(t *testing.T) (start, now, most float64) {
	t.Helper()
	old, young, last := newFarm(t, "old", 101), newFarm(t, "young", 102), newFarm(t, "last", 103)
	p, watch := largeBalancer(t, "")
	start, _ = p.resident()
	watch.SendLine(endpointList(1, true, old.entries...))
	p.waitForMetric("targets", large)
	if refused := p.serves(300); refused > 0 || old.reached() < 100 {
		t.Errorf("%d of 300 requests are not served", refused)
	}
	watch.SendLine(endpointList(2, false, append(old.as("Terminating"), young.entries...)...))
	p.waitForMetric("targets", 2*large)
	if refused := p.serves(300); refused > 0 || old.reached() > 0 || young.reached() < 100 {
		t.Errorf("%d of 300 requests are not served after all have drained", refused)
	}
	p.logsDrains(large) // None is lost, though nobody but the log's reader writes them all at once.
	watch.SendLine(endpointList(3, false, old.as("Gone")...))
	p.waitForMetric("targets", large)
	watch.SendLine(endpointList(4, false, last.entries...))
	p.waitForMetric("targets", 2*large)
	p.bansAll(t, "young")
	p.waitForMetric("targets_disabled", large)
	if refused := p.serves(300); refused > 0 || young.reached() > 0 || last.reached() < 100 {
		t.Errorf("%d of 300 requests are not served after half were taken out by hand", refused)
	}
	p.byHand("disable", "last", some) // Beside the others.
	p.waitForMetric("targets_disabled", large+some)
	p.byHand("disable", "old", some) // Gone, and may come back.
	p.byHand("enable", "young", some)
	if code, text := p.adminRequest("GET", "/cache-hosts"); code != http.StatusOK || strings.Count(text, `"by_hand":true`) != large+some {
		t.Errorf("%d, and %d hosts out by hand", code, strings.Count(text, `"by_hand":true`))
	}
	if refused := p.serves(300); refused > 0 || young.reached() == 0 || last.reached() < 100 {
		t.Errorf("%d of 300 requests are not served after some were put back", refused)
	}
	now, most = p.resident()
	return start, now, most
}

// With onlyDrainingBinds, 1,024 hosts disappear from the list at once: all are kept and used.
func TestAThousandServersGone(t *testing.T) {
	t.Parallel()
	hosts := newFarm(t, "s", 104)
	p, watch := largeBalancer(t, `"onlyDrainingBinds":true,`)
	watch.SendLine(endpointList(1, true, hosts.entries...))
	p.waitForMetric("targets", large)
	watch.SendLine(endpointList(2, true))
	p.waitForMetric("targets", 0)
	if refused, reached := p.serves(large), hosts.reached(); refused > 0 || reached < large/2 { // By chance some 650.
		t.Errorf("%d of %d requests are not served; %d hosts are used", refused, large, reached)
	}
}
