package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
)

// programVariable has this test binary run as the program.
const programVariable = "HOLLYLEVER_CLI_TEST_AS_PROGRAM"

// patience is the time for anything that has to come.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		Main(nil)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startBalancer starts the program without arguments, as a platform does, and returns it with the address for clients.
func startBalancer(t *testing.T, endpointList string) (process *fakes.Process, address string) {
	t.Helper()
	platform, err := fakes.NewPlatform(t.TempDir(), fakes.Setup{Program: os.Args[0], Variables: []string{programVariable + "=1", "LB_EXTRA="}, Core: -1,
		Known: endpointList, Discovery: "127.0.0.1:1", Limits: fakes.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	process, err = platform.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process, platform.Address
}

// configurationFile writes a good configuration with changes.
func configurationFile(t *testing.T, changes map[string]any) string {
	t.Helper()
	configuration := map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(fakes.Settings), "known": json.RawMessage(fakes.List(0, true))}
	for field, value := range changes {
		configuration[field] = value
	}
	text, err := json.Marshal(configuration)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// An operator asks a balancer that serves: whether it is ready, for its figures, for its cache hosts; takes one out,
// sees it out, and asks for one that was never listed.
func TestCommandsAtARunningBalancer(t *testing.T) {
	host, err := fakes.Scripted()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	process, address := startBalancer(t, fakes.List(0, true, fakes.Entry("s-1", host.Address, "Ready"), fakes.Entry("s-2", host.Address, "Ready")))
	endpoint := "--door=" + process.Mgmt
	if code, out, _ := runCommand("ready", endpoint); code != 0 || out != "ready\n" {
		t.Errorf("ready: %d %q", code, out)
	}
	requestOnce(t, address, host)
	waitForMetric(t, endpoint, "replies.read.success", 1)
	if code, out, _ := runCommand("figures", endpoint, "--watch", "--times=2", "--every=10ms"); code != 0 || !strings.Contains(out, "trips handed over") ||
		!strings.Contains(out, "+0") {
		t.Errorf("figures: %d\n%s", code, out)
	}
	if code, out, _ := runCommand("hosts", "out", "s-1", endpoint); code != 0 || out != "s-1 is out\n" {
		t.Errorf("hosts out: %d %q", code, out)
	}
	_, out, _ := runCommand("hosts", "list", endpoint)
	if lines := strings.Split(out, "\n"); len(lines) != 4 || !strings.Contains(lines[1], "out by hand") || !strings.Contains(lines[2], "used") {
		t.Errorf("hosts list:\n%s", out)
	}
	var all []struct {
		ID     string
		ByHand bool `json:"by_hand"`
	}
	if _, out, _ := runCommand("hosts", "list", endpoint, "--json"); json.Unmarshal([]byte(out), &all) != nil || len(all) != 2 || !all[0].ByHand {
		t.Errorf("hosts list --json: %s", out)
	}
	if code, _, errOut := runCommand("hosts", "back", "s-9", endpoint); code != exitRequestFailed || !strings.Contains(errOut, "never listed") {
		t.Errorf("hosts back of what never was: %d %q", code, errOut)
	}
}

// requestOnce makes one request that the cache host answers.
func requestOnce(t *testing.T, address string, host *fakes.Host) {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	fmt.Fprint(client, fakes.EncodeCommand("C.GET", "k", "a", "c=read,d=3000"))
	select {
	case command := <-host.Commands:
		command.Reply(fakes.ValueReply("v"))
	case <-time.After(patience):
		t.Fatal("the request does not come")
	}
	if err := client.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if reply, err := fakes.ReadMessage(bufio.NewReader(client)); err != nil || len(reply) != 1 || reply[0] != "v" {
		t.Fatalf("the reply is %q, %v", reply, err)
	}
}

// waitForMetric reads a metric until it has the value: a response reaches the client a moment before it is counted.
func waitForMetric(t *testing.T, endpoint, name string, want int) {
	t.Helper()
	var out string
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, out, _ = runCommand("figures", "--json", endpoint)
		if strings.Contains(out, strconv.Quote(name)+": "+strconv.Itoa(want)) {
			return
		}
	}
	t.Fatalf("%s is not %d in\n%s", name, want, out)
}
