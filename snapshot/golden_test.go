package snapshot

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hollylever/policy"
)

var update = flag.Bool("update", false, "rewrite the fixture in testdata")

// fixtureSnapshot returns a snapshot with a different value in each field, so that swapped fields are detected.
func fixtureSnapshot() *Snapshot {
	value := float32(0)
	sum := func() policy.Sum {
		value++
		return policy.Sum{Value: value / 8, Age: int64(value) * 1e6}
	}
	machineType := func(weight float64) policy.MachineTypeState {
		return policy.MachineTypeState{Answers: sum(), AnswerTime: sum(), Rejected: sum(), Weight: weight}
	}
	endpoint := func(hash uint64) policy.EndpointState {
		return policy.EndpointState{Hash: hash, StartedAt: int64(hash) + 1, InFlight: sum(), Attempts: sum(), Successes: sum(), Failures: sum(), Rejected: sum(),
			RetryTokens: value / 64, LastUnresponsiveAt: int64(hash) + 2, ServedRate: value + 0.25, Strain: value + 0.5}
	}
	return &Snapshot{BalancerName: "n1", SettingsFingerprint: 0x1122334455667788, WrittenAt: now.UnixNano(),
		BootID: "another start", SinceBoot: 77, DiscoveryServer: "127.0.0.1:7000", ListIndex: 99, EndpointList: []byte(`{"index":99}`),
		BalancerState: policy.State{Now: 5_000_000_000, StartedAt: 1_000_000_001, ActivityTime: 3_000_000_002, ActivityRate: 0.75, InFlight: sum(), Successes: sum(), Failures: sum(),
			WarmAnswers: sum(), Reads: sum(), ReadsMissed: sum(), ReadsFailed: sum(), Timely: sum(), LateOrFailed: sum(), Arrivals: sum(), RejectedOverload: sum(), CacheMisses: sum(),
			Answers: sum(), AnswerTime: sum(), ConnectFailures: sum(), Overdue: sum(), RetryTokens: 3.5, BaseLatency: 2e8, Admitted: 0.625, OriginLimit: 12.5, PeakThroughput: 33.25,
			PeakAt: 4_000_000_003, Fleetwide: machineType(1.5), MachineTypes: []policy.MachineTypeState{machineType(2.5), machineType(3.5)}, Tenants: []policy.Sum{sum(), sum()},
			Endpoints: []policy.EndpointState{endpoint(1000), endpoint(2000)}, Keys: []uint64{11, 12, 13}, KeyEndpoints: []uint32{1, 0, 1}}}
}

// If the file format changed with a renamed field, an upgraded process would read the previous process's snapshot with
// lost or swapped fields, and start cold or with the data of other endpoints. The fixture was written by version
// 860147b. It must be read with the same content, and writing this content must produce the same bytes.
func TestStoredSnapshotStaysReadable(t *testing.T) {
	path := filepath.Join("testdata", "snapshot-v2")
	if *update {
		if _, err := (&File{Path: path}).Write(fixtureSnapshot()); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, content := writeSnapshot(t, fixtureSnapshot()); !bytes.Equal(content, stored) {
		t.Errorf("the bytes written differ from the fixture: %x, fixture has %x", content, stored)
	}
	f := &File{Path: filepath.Join(t.TempDir(), "snapshot")}
	if err := os.WriteFile(f.Path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := f.Read("n1", 0x1122334455667788, now.Add(2*time.Second), maxAge)
	if err != nil {
		t.Fatal(err)
	}
	want := fixtureSnapshot()
	want.Age = 2 * time.Second
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, want %+v", got, want)
	}
}
