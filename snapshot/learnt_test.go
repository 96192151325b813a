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

const lasts = 30 * time.Second

func sample(keys int) *Snapshot {
	s := &Snapshot{BalancerName: "n1", SettingsFingerprint: 7, WrittenAt: now.UnixNano(), DiscoveryServer: "127.0.0.1:1", ListIndex: 9, EndpointList: []byte(`{}`)}
	s.BalancerState = policy.State{Now: now.UnixNano(), Began: now.UnixNano() - 5, Seen: 100, Pace: 1, Usual: 1e9, Admit: 1,
		Servers: []policy.ServerState{{Hash: 1, Good: policy.Sum{Value: 3, Age: 4}}, {Hash: 2, Rate: -1}},
		Kinds:   []policy.KindState{{Size: 2}}, Tenants: []policy.Sum{}, Keys: []uint64{}, Places: []uint32{}}
	for n := range keys {
		s.BalancerState.Keys, s.BalancerState.Places = append(s.BalancerState.Keys, uint64(n)+1), append(s.BalancerState.Places, uint32(n%2))
	}
	return s
}

func written(t *testing.T, s *Snapshot) (*File, []byte) {
	t.Helper()
	f := &File{Path: filepath.Join(t.TempDir(), "learnt")}
	if _, err := f.Write(s); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	return f, text
}

func (f *File) holds(t *testing.T, text []byte) (*Snapshot, error) {
	t.Helper()
	if err := os.WriteFile(f.Path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return f.Read("n1", 7, now, lasts)
}

// Cut off at every byte and changed at every byte, a file is refused; whole, it comes back as it was.
func TestOnlyWhatIsWholeIsTaken(t *testing.T) {
	s := sample(5)
	f, text := written(t, s)
	got, err := f.Read("n1", 7, now, lasts)
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v; want %+v", got, err, s)
	}
	for n := range text {
		if got, err := f.holds(t, text[:n]); got != nil || err == nil {
			t.Fatalf("cut off at %d: it is taken", n)
		}
		spoilt := append([]byte(nil), text...)
		spoilt[n] ^= 1 << (n % 8)
		if got, err := f.holds(t, spoilt); got != nil || err == nil {
			t.Fatalf("byte %d changed: it is taken", n)
		}
	}
	if got, err := f.holds(t, append(text, 0)); got != nil || err == nil {
		t.Error("it is taken with a byte more")
	}
}

// What has a right sum and makes no sense is refused as well: no index of it may lead anywhere.
func TestWhatMakesNoSenseIsRefused(t *testing.T) {
	for what, spoil := range map[string]func(s *Snapshot){
		"a place beyond the hosts": func(s *Snapshot) { s.BalancerState.Places[3] = 2 },
		"fewer places than keys":   func(s *Snapshot) { s.BalancerState.Places = s.BalancerState.Places[:4] },
		"a sum below zero":         func(s *Snapshot) { s.BalancerState.Servers[1].Busy.Value = -1 },
		"an age below zero":        func(s *Snapshot) { s.BalancerState.Reads.Age = -1 },
		"a pace of nothing":        func(s *Snapshot) { s.BalancerState.Pace = 0 },
		"a start after the end":    func(s *Snapshot) { s.BalancerState.Began = s.BalancerState.Now + 1 },
		"credit beyond all":        func(s *Snapshot) { s.BalancerState.Credit = 1e9 },
		"of another balancer":      func(s *Snapshot) { s.BalancerName = "n2" },
		"of other settings":        func(s *Snapshot) { s.SettingsFingerprint = 8 },
		"older than it lasts":      func(s *Snapshot) { s.WrittenAt -= int64(lasts) + 1 },
		"from far ahead":           func(s *Snapshot) { s.WrittenAt += int64(lasts) + 1 },
	} {
		s := sample(5)
		spoil(s)
		f, _ := written(t, s)
		if got, err := f.Read("n1", 7, now, lasts); got != nil || err == nil {
			t.Errorf("%s: it is taken", what)
		}
	}
	s := sample(0)
	s.WrittenAt += int64(lasts) / 2 // The clock has stepped back by less than the bound.
	f, text := written(t, s)
	if got, err := f.Read("n1", 7, now, lasts); err != nil || got.Age != 0 {
		t.Errorf("a small step back: %+v, %v", got, err)
	}
	for _, step := range []time.Duration{-time.Hour, time.Hour} { // Under the same start of the machine its clock tells the age.
		s := sample(0)
		s.WrittenAt += int64(step)
		s.BootID, s.SinceBoot = monotime.BootID(), monotime.Now()-int64(time.Second)
		f, _ := written(t, s)
		if got, err := f.Read("n1", 7, now, lasts); err != nil || got.Age < time.Second || got.Age > time.Minute {
			t.Errorf("a step of %v: %+v, %v", step, got, err)
		}
	}
	binary.LittleEndian.PutUint32(text[len(magic):], version+1)
	if _, err := f.holds(t, text); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("of another version: %v", err)
	}
}

func FuzzUnpack(f *testing.F) {
	body, _ := packing.Marshal(sample(3))
	f.Add(body)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		text := append([]byte(magic), 1, 0, 0, 0)
		text = binary.LittleEndian.AppendUint32(text, uint32(len(body)))
		text = binary.LittleEndian.AppendUint32(text, crc32.Checksum(body, table))
		if s, err := unpack(append(text, body...)); err == nil && s.BalancerState.Check() != nil {
			t.Error("it is taken, though it makes no sense")
		}
	})
}

// Nobody else's file is read or written over.
func TestNobodyElsesFileIsTaken(t *testing.T) {
	f, text := written(t, sample(1))
	other := f.Path + ".other"
	os.WriteFile(other, text, 0o600)
	os.Remove(f.Path)
	os.Symlink(other, f.Path)
	if got, err := f.Read("n1", 7, now, lasts); got != nil || err == nil {
		t.Error("a link is followed")
	}
	os.Remove(f.Path)
	if err := syscall.Mkfifo(f.Path, 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := f.Read("n1", 7, now, lasts); got != nil || err == nil {
		t.Error("a pipe is read")
	}
	os.Remove(f.Path + ".new")
	os.Symlink(other, f.Path+".new")
	if _, err := f.Write(sample(2)); err == nil {
		t.Error("a link is written through")
	}
	if now, _ := os.ReadFile(other); string(now) != string(text) {
		t.Error("what a link names has changed")
	}
	if os.Geteuid() == 0 {
		os.Remove(f.Path)
		os.WriteFile(f.Path, text, 0o600)
		os.Chown(f.Path, 12345, 12345)
		if got, err := f.Read("n1", 7, now, lasts); got != nil || err == nil {
			t.Error("another user's file is taken")
		}
	}
}

const asWriter = "HOLLYLEVER_LEARNT_TEST"

// A process killed amid its writes leaves a whole snapshot, and the next one can write.
func TestKilledAmidTheWrite(t *testing.T) {
	if path := os.Getenv(asWriter); path != "" {
		f, s := &File{Path: path}, sample(4000)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			f.Write(s)
		}
		return
	}
	f := &File{Path: filepath.Join(t.TempDir(), "learnt")}
	for n := range 20 {
		cmd := exec.Command(os.Args[0], "-test.run=TestKilledAmidTheWrite$")
		cmd.Env = append(os.Environ(), asWriter+"="+f.Path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			if s, err := f.Read("n1", 7, now, lasts); err != nil {
				t.Fatal(err)
			} else if s != nil {
				break
			}
		}
		time.Sleep(time.Duration(n) * 313 * time.Microsecond) // Anywhere amid a write.
		cmd.Process.Kill()
		cmd.Wait()
		if s, err := f.Read("n1", 7, now, lasts); err != nil || len(s.BalancerState.Keys) != 4000 {
			t.Fatalf("%d: what a killed process leaves: %v", n, err)
		}
		if _, err := f.Write(sample(1)); err != nil {
			t.Fatal(err)
		}
		os.Remove(f.Path)
	}
}

func TestOneWritesAtATime(t *testing.T) {
	f, _ := written(t, sample(1))
	at, err := os.OpenFile(f.Path+".new", os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer at.Close()
	syscall.Flock(int(at.Fd()), syscall.LOCK_EX)
	if _, err := f.Write(sample(2)); !errors.Is(err, ErrLocked) {
		t.Errorf("a second writer: %v", err)
	}
}

// At 5,000 hosts and as many keys as a module keeps.
func BenchmarkWrite(b *testing.B) {
	s := sample(8191)
	s.BalancerState.Servers = make([]policy.ServerState, 5000)
	for n := range s.BalancerState.Servers {
		h := &s.BalancerState.Servers[n]
		*h = policy.ServerState{Hash: uint64(n+1) * 0x9e3779b97f4a7c15, Started: now.UnixNano(), Credit: 2.2, Rate: -1}
		for _, sum := range []*policy.Sum{&h.Held, &h.Sent, &h.Good, &h.Bad, &h.Busy} {
			*sum = policy.Sum{Value: float32(n) / 7, Age: int64(n) * 1e6}
		}
	}
	s.EndpointList = []byte(strings.Repeat("x", 5000*140))
	f := &File{Path: filepath.Join(b.TempDir(), "learnt")}
	size := 0
	for b.Loop() {
		var err error
		if size, err = f.Write(s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
