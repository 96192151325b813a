package snapshot

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/monotime"
	"hollylever/policy"
)

var now = time.Unix(1_800_000_000, 0)

const maxAge = 30 * time.Second

// sampleSnapshot returns a snapshot with two endpoints and the given number of keys.
func sampleSnapshot(keys int) *Snapshot {
	s := &Snapshot{BalancerName: "n1", SettingsFingerprint: 7, WrittenAt: now.UnixNano(),
		DiscoveryServer: "127.0.0.1:1", ListIndex: 9, EndpointList: []byte(`{}`)}
	s.BalancerState = policy.State{Now: now.UnixNano(), StartedAt: now.UnixNano() - 5, ActivityTime: 100, ActivityRate: 1, BaseLatency: 1e9, Admitted: 1,
		Endpoints:    []policy.EndpointState{{Hash: 1, Successes: policy.Sum{Value: 3, Age: 4}}, {Hash: 2, ServedRate: -1}},
		MachineTypes: []policy.MachineTypeState{{Weight: 2}}, Tenants: []policy.Sum{}, Keys: []uint64{}, KeyEndpoints: []uint32{}}
	for n := range keys {
		s.BalancerState.Keys, s.BalancerState.KeyEndpoints = append(s.BalancerState.Keys, uint64(n)+1), append(s.BalancerState.KeyEndpoints, uint32(n%2))
	}
	return s
}

// writeSnapshot writes a snapshot to a new file, and returns the file and its content.
func writeSnapshot(t *testing.T, s *Snapshot) (*File, []byte) {
	t.Helper()
	f := &File{Path: filepath.Join(t.TempDir(), "snapshot")}
	if _, err := f.Write(s); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	return f, content
}

// writeAndRead replaces the file's content and reads the file as a snapshot.
func writeAndRead(t *testing.T, f *File, content []byte) (*Snapshot, error) {
	t.Helper()
	if err := os.WriteFile(f.Path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return f.Read("n1", 7, now, maxAge)
}

// A killed process or a failing disk can leave a truncated snapshot or one with a changed byte. Restoring it would lead
// to wrong routing decisions until the balancer had learned anew. Truncation and a changed bit are refused at every
// byte; an intact snapshot is read unchanged.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	s := sampleSnapshot(5)
	f, content := writeSnapshot(t, s)
	got, err := f.Read("n1", 7, now, maxAge)
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v; want %+v", got, err, s)
	}
	for n := range content {
		if got, err := writeAndRead(t, f, content[:n]); got != nil || !errors.Is(err, ErrInvalid) {
			t.Fatalf("truncated at byte %d: %v", n, err)
		}
		changed := append([]byte(nil), content...)
		changed[n] ^= 1 << (n % 8)
		if got, err := writeAndRead(t, f, changed); got != nil || !errors.Is(err, ErrInvalid) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	if got, err := writeAndRead(t, f, append(content, 0)); got != nil || !errors.Is(err, ErrInvalid) {
		t.Errorf("with an additional byte: %v", err)
	}
}

// A snapshot with a correct checksum can still have inconsistent values, due to a defect in the writer, or come from
// another balancer, other settings or another time. Its indices could lead package policy out of bounds and its numbers
// to wrong decisions, so it is refused with the error for the reason.
func TestInconsistentOrInapplicableSnapshotIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		modify func(s *Snapshot)
		want   error
	}{
		"a key endpoint out of range":        {func(s *Snapshot) { s.BalancerState.KeyEndpoints[3] = 2 }, ErrInvalid},
		"fewer key endpoints than keys":      {func(s *Snapshot) { s.BalancerState.KeyEndpoints = s.BalancerState.KeyEndpoints[:4] }, ErrInvalid},
		"a sum below zero":                   {func(s *Snapshot) { s.BalancerState.Endpoints[1].Rejected.Value = -1 }, ErrInvalid},
		"an age below zero":                  {func(s *Snapshot) { s.BalancerState.Reads.Age = -1 }, ErrInvalid},
		"an activity rate of zero":           {func(s *Snapshot) { s.BalancerState.ActivityRate = 0 }, ErrInvalid},
		"a start after the end":              {func(s *Snapshot) { s.BalancerState.StartedAt = s.BalancerState.Now + 1 }, ErrInvalid},
		"more retry tokens than the maximum": {func(s *Snapshot) { s.BalancerState.RetryTokens = 1e9 }, ErrInvalid},
		"of another balancer":                {func(s *Snapshot) { s.BalancerName = "n2" }, ErrNotApplicable},
		"of other settings":                  {func(s *Snapshot) { s.SettingsFingerprint = 8 }, ErrNotApplicable},
		"too old":                            {func(s *Snapshot) { s.WrittenAt -= int64(maxAge) + 1 }, ErrNotApplicable},
		"from far in the future":             {func(s *Snapshot) { s.WrittenAt += int64(maxAge) + 1 }, ErrNotApplicable},
	} {
		s := sampleSnapshot(5)
		c.modify(s)
		f, _ := writeSnapshot(t, s)
		if got, err := f.Read("n1", 7, now, maxAge); got != nil || !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	f, content := writeSnapshot(t, sampleSnapshot(0))
	binary.LittleEndian.PutUint32(content[magicSize:], snapshotFormat.version+1)
	if _, err := writeAndRead(t, f, content); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), "version") {
		t.Errorf("of another version: %v", err)
	}
}

// The wall clock can be stepped between two processes. If the age were measured by it alone, a snapshot written a
// second ago could be refused or count as older than it is. Within one boot the age is measured by the monotonic clock;
// by the wall clock, a negative age counts as zero after a small step back.
func TestClockStepDoesNotChangeSnapshotAge(t *testing.T) {
	s := sampleSnapshot(0)
	s.WrittenAt += int64(maxAge) / 2 // The clock was set back by less than maxAge.
	f, _ := writeSnapshot(t, s)
	if got, err := f.Read("n1", 7, now, maxAge); err != nil || got.Age != 0 {
		t.Errorf("a small step back: %+v, %v", got, err)
	}
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s := sampleSnapshot(0)
		s.WrittenAt += int64(step)
		s.BootID, s.SinceBoot = monotime.BootID(), monotime.Now()-int64(time.Second)
		f, _ := writeSnapshot(t, s)
		if got, err := f.Read("n1", 7, now, maxAge); err != nil || got.Age < time.Second || got.Age > time.Minute {
			t.Errorf("a clock step of %v: %+v, %v", step, got, err)
		}
	}
}

// A file with a correct header and an arbitrary body must be refused or yield a consistent snapshot, without a panic.
func FuzzDecode(f *testing.F) {
	body, _ := encoder.Marshal(sampleSnapshot(3))
	f.Add(body)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		content := binary.LittleEndian.AppendUint32([]byte(snapshotFormat.magic), snapshotFormat.version)
		content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
		content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(body, castagnoli))
		if s, err := decodeSnapshot(append(content, body...)); err == nil && s.BalancerState.Check() != nil {
			t.Error("an inconsistent snapshot is returned")
		}
	})
}

// In a world-writable directory another user can put a link, a pipe or a file in the snapshot's place, to influence the
// balancer or to make it overwrite another file. None of these may be read or written.
func TestFilesOfOtherUsersAreNeitherReadNorWritten(t *testing.T) {
	f, content := writeSnapshot(t, sampleSnapshot(1))
	other := f.Path + ".other"
	os.WriteFile(other, content, 0o600)
	os.Remove(f.Path)
	os.Symlink(other, f.Path)
	if got, err := f.Read("n1", 7, now, maxAge); got != nil || err == nil {
		t.Error("a link is followed by Read")
	}
	os.Remove(f.Path)
	if err := syscall.Mkfifo(f.Path, 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := f.Read("n1", 7, now, maxAge); got != nil || err == nil {
		t.Error("a pipe is read")
	}
	os.Remove(f.Path + ".new")
	os.Symlink(other, f.Path+".new")
	if _, err := f.Write(sampleSnapshot(2)); err == nil {
		t.Error("a link is followed by Write")
	}
	if otherContent, _ := os.ReadFile(other); string(otherContent) != string(content) {
		t.Error("the target of a link has changed")
	}
	if os.Geteuid() == 0 {
		os.Remove(f.Path)
		os.WriteFile(f.Path, content, 0o600)
		os.Chown(f.Path, 12345, 12345)
		if got, err := f.Read("n1", 7, now, maxAge); got != nil || err == nil {
			t.Error("another user's file is accepted")
		}
	}
}

// writerEnv is the environment variable that makes the test binary run as the process to be killed. Its value is the
// path to write to.
const writerEnv = "HOLLYLEVER_SNAPSHOT_TEST"

// After a process is killed during a write, the next one must find the last complete snapshot and be able to write its
// own.
func TestKillDuringWriteLeavesACompleteSnapshot(t *testing.T) {
	if path := os.Getenv(writerEnv); path != "" {
		f, s := &File{Path: path}, sampleSnapshot(4000)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			f.Write(s)
		}
		return
	}
	f := &File{Path: filepath.Join(t.TempDir(), "snapshot")}
	for n := range 20 {
		cmd := exec.Command(os.Args[0], "-test.run=TestKillDuringWriteLeavesACompleteSnapshot$")
		cmd.Env = append(os.Environ(), writerEnv+"="+f.Path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			if s, err := f.Read("n1", 7, now, maxAge); err != nil {
				t.Fatal(err)
			} else if s != nil {
				break
			}
		}
		time.Sleep(time.Duration(n) * 313 * time.Microsecond) // Kills at varying points of a write.
		cmd.Process.Kill()
		cmd.Wait()
		if s, err := f.Read("n1", 7, now, maxAge); err != nil || len(s.BalancerState.Keys) != 4000 {
			t.Fatalf("run %d: after the kill: %v", n, err)
		}
		if _, err := f.Write(sampleSnapshot(1)); err != nil {
			t.Fatal(err)
		}
		os.Remove(f.Path)
	}
}

// Two processes of a balancer that write to the same file at the same time would leave a mixture of both snapshots, so
// the second one must fail with ErrLocked.
func TestConcurrentWriterFailsWithErrLocked(t *testing.T) {
	f, _ := writeSnapshot(t, sampleSnapshot(1))
	file, err := os.OpenFile(f.Path+".new", os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	syscall.Flock(int(file.Fd()), syscall.LOCK_EX)
	if _, err := f.Write(sampleSnapshot(2)); !errors.Is(err, ErrLocked) {
		t.Errorf("second writer: error %v, want ErrLocked", err)
	}
}

// Measures Write with 5,000 endpoints and as many keys as package policy remembers.
func BenchmarkWrite(b *testing.B) {
	s := sampleSnapshot(8191)
	s.BalancerState.Endpoints = make([]policy.EndpointState, 5000)
	for n := range s.BalancerState.Endpoints {
		endpoint := &s.BalancerState.Endpoints[n]
		*endpoint = policy.EndpointState{Hash: uint64(n+1) * 0x9e3779b97f4a7c15, StartedAt: now.UnixNano(), RetryTokens: 2.2, ServedRate: -1}
		for _, sum := range []*policy.Sum{&endpoint.InFlight, &endpoint.Attempts, &endpoint.Successes, &endpoint.Failures, &endpoint.Rejected} {
			*sum = policy.Sum{Value: float32(n) / 7, Age: int64(n) * 1e6}
		}
	}
	s.EndpointList = []byte(strings.Repeat("x", 5000*140))
	f := &File{Path: filepath.Join(b.TempDir(), "snapshot")}
	size := 0
	for b.Loop() {
		var err error
		if size, err = f.Write(s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
