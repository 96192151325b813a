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

// sample returns a snapshot of two servers and a number of keys.
func sample(keys int) *Snapshot {
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

// writeSnapshot writes a snapshot to a file of its own, and returns what the file holds.
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

// readContent writes content to the file and reads it as a snapshot.
func readContent(t *testing.T, f *File, content []byte) (*Snapshot, error) {
	t.Helper()
	if err := os.WriteFile(f.Path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return f.Read("n1", 7, now, maxAge)
}

// A process is killed, or a disk fails, and the snapshot is truncated or has a changed byte. Restored, it would mislead
// the balancer's decisions until it had learned better: at every byte either is refused, and a complete one comes back
// as it was.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	s := sample(5)
	f, content := writeSnapshot(t, s)
	got, err := f.Read("n1", 7, now, maxAge)
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v; want %+v", got, err, s)
	}
	for n := range content {
		if got, err := readContent(t, f, content[:n]); got != nil || !errors.Is(err, ErrInvalid) {
			t.Fatalf("truncated at byte %d: %v", n, err)
		}
		changed := append([]byte(nil), content...)
		changed[n] ^= 1 << (n % 8)
		if got, err := readContent(t, f, changed); got != nil || !errors.Is(err, ErrInvalid) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	if got, err := readContent(t, f, append(content, 0)); got != nil || !errors.Is(err, ErrInvalid) {
		t.Errorf("with a byte more: %v", err)
	}
}

// A snapshot has a right checksum and makes no sense, as a defect of the writer left it, or it is of another balancer
// or another time. An index of it could lead the decision module out of bounds, or its figures astray: it is refused,
// with the error that says why.
func TestSnapshotThatMakesNoSenseOrDoesNotApplyIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(s *Snapshot)
		want  error
	}{
		"a key endpoint beyond the hosts": {func(s *Snapshot) { s.BalancerState.KeyEndpoints[3] = 2 }, ErrInvalid},
		"fewer key endpoints than keys":   {func(s *Snapshot) { s.BalancerState.KeyEndpoints = s.BalancerState.KeyEndpoints[:4] }, ErrInvalid},
		"a sum below zero":                {func(s *Snapshot) { s.BalancerState.Endpoints[1].Rejected.Value = -1 }, ErrInvalid},
		"an age below zero":               {func(s *Snapshot) { s.BalancerState.Reads.Age = -1 }, ErrInvalid},
		"an activity rate of zero":        {func(s *Snapshot) { s.BalancerState.ActivityRate = 0 }, ErrInvalid},
		"a start after the end":           {func(s *Snapshot) { s.BalancerState.StartedAt = s.BalancerState.Now + 1 }, ErrInvalid},
		"more credit than there can be":   {func(s *Snapshot) { s.BalancerState.RetryTokens = 1e9 }, ErrInvalid},
		"of another balancer":             {func(s *Snapshot) { s.BalancerName = "n2" }, ErrNotApplicable},
		"of other settings":               {func(s *Snapshot) { s.SettingsFingerprint = 8 }, ErrNotApplicable},
		"too old":                         {func(s *Snapshot) { s.WrittenAt -= int64(maxAge) + 1 }, ErrNotApplicable},
		"from far in the future":          {func(s *Snapshot) { s.WrittenAt += int64(maxAge) + 1 }, ErrNotApplicable},
	} {
		s := sample(5)
		c.spoil(s)
		f, _ := writeSnapshot(t, s)
		if got, err := f.Read("n1", 7, now, maxAge); got != nil || !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	f, content := writeSnapshot(t, sample(0))
	binary.LittleEndian.PutUint32(content[len(fileMagic):], formatVersion+1)
	if _, err := readContent(t, f, content); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), "version") {
		t.Errorf("of another version: %v", err)
	}
}

// The wall clock is stepped between two processes. Were the age told by it alone, what was learned a second ago would
// be refused or taken for older than it is: under the same boot the machine's own clock tells the age, and a small step
// back counts as none.
func TestSteppedClockDoesNotAgeASnapshot(t *testing.T) {
	s := sample(0)
	s.WrittenAt += int64(maxAge) / 2 // The clock went back by less than the bound.
	f, _ := writeSnapshot(t, s)
	if got, err := f.Read("n1", 7, now, maxAge); err != nil || got.Age != 0 {
		t.Errorf("a small step back: %+v, %v", got, err)
	}
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s := sample(0)
		s.WrittenAt += int64(step)
		s.BootID, s.SinceBoot = monotime.BootID(), monotime.Now()-int64(time.Second)
		f, _ := writeSnapshot(t, s)
		if got, err := f.Read("n1", 7, now, maxAge); err != nil || got.Age < time.Second || got.Age > time.Minute {
			t.Errorf("a step of %v: %+v, %v", step, got, err)
		}
	}
}

// A file holds anything, with a header that fits: it is refused or makes sense, and nothing panics.
func FuzzDecode(f *testing.F) {
	body, _ := encoder.Marshal(sample(3))
	f.Add(body)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		content := binary.LittleEndian.AppendUint32([]byte(fileMagic), formatVersion)
		content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
		content = binary.LittleEndian.AppendUint32(content, crc32.Checksum(body, castagnoli))
		if s, err := decode(append(content, body...)); err == nil && s.BalancerState.Check() != nil {
			t.Error("a snapshot that makes no sense is returned")
		}
	})
}

// The directory is writable for others, and somebody puts a link, a pipe or a file of their own in the snapshot's
// place, to steer the balancer or to have it write over another file: nothing of theirs is read or written.
func TestFilesOfOthersAreNeitherReadNorWritten(t *testing.T) {
	f, content := writeSnapshot(t, sample(1))
	other := f.Path + ".other"
	os.WriteFile(other, content, 0o600)
	os.Remove(f.Path)
	os.Symlink(other, f.Path)
	if got, err := f.Read("n1", 7, now, maxAge); got != nil || err == nil {
		t.Error("a link is followed")
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
	if _, err := f.Write(sample(2)); err == nil {
		t.Error("a link is written through")
	}
	if now, _ := os.ReadFile(other); string(now) != string(content) {
		t.Error("what a link names has changed")
	}
	if os.Geteuid() == 0 {
		os.Remove(f.Path)
		os.WriteFile(f.Path, content, 0o600)
		os.Chown(f.Path, 12345, 12345)
		if got, err := f.Read("n1", 7, now, maxAge); got != nil || err == nil {
			t.Error("another user's file is taken")
		}
	}
}

// writerEnv makes the test binary the process that is killed.
const writerEnv = "HOLLYLEVER_SNAPSHOT_TEST"

// A process is killed amid a write. The process after it must find the snapshot before that, complete, and be able to
// write its own.
func TestKillDuringWriteLeavesACompleteSnapshot(t *testing.T) {
	if path := os.Getenv(writerEnv); path != "" {
		f, s := &File{Path: path}, sample(4000)
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
		time.Sleep(time.Duration(n) * 313 * time.Microsecond) // Anywhere amid a write.
		cmd.Process.Kill()
		cmd.Wait()
		if s, err := f.Read("n1", 7, now, maxAge); err != nil || len(s.BalancerState.Keys) != 4000 {
			t.Fatalf("%d: what a killed process leaves: %v", n, err)
		}
		if _, err := f.Write(sample(1)); err != nil {
			t.Fatal(err)
		}
		os.Remove(f.Path)
	}
}

// Two processes of a balancer write at the same time. Both in one file, they would leave a mixture: the second one
// gives up.
func TestConcurrentWriterGivesUp(t *testing.T) {
	f, _ := writeSnapshot(t, sample(1))
	file, err := os.OpenFile(f.Path+".new", os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	syscall.Flock(int(file.Fd()), syscall.LOCK_EX)
	if _, err := f.Write(sample(2)); !errors.Is(err, ErrLocked) {
		t.Errorf("a second writer: %v", err)
	}
}

// 5,000 cache hosts, and as many keys as the decision module remembers.
func BenchmarkWrite(b *testing.B) {
	s := sample(8191)
	s.BalancerState.Endpoints = make([]policy.EndpointState, 5000)
	for n := range s.BalancerState.Endpoints {
		h := &s.BalancerState.Endpoints[n]
		*h = policy.EndpointState{Hash: uint64(n+1) * 0x9e3779b97f4a7c15, StartedAt: now.UnixNano(), RetryTokens: 2.2, ServedRate: -1}
		for _, sum := range []*policy.Sum{&h.InFlight, &h.Attempts, &h.Successes, &h.Failures, &h.Rejected} {
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
