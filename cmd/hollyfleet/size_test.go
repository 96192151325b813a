package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/fakes/between"
	"hollylever/fleetconfig"
)

// large is how many hosts, zones and balancers the settings have in the tests of size.
const large = 1024

func largeZone(n int) string { return fmt.Sprintf("zone-%04d", n) }

// largeSettings are the usual ones with as many zones and balancers.
func largeSettings(t *testing.T) string {
	var zones []string
	for n := range large {
		zones = append(zones, largeZone(n))
	}
	names, err := json.Marshal(zones)
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.Replace(fakes.Settings, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, large), 1)
	return strings.Replace(settings, `"zones":["z"]`, `"zones":`+string(names), 1)
}

// largeTown is a few processes of a fleet that may have a thousand, each with a list of its own of a thousand hosts, each of these in its own zone.
func largeTown(t *testing.T, seed uint64) (w *town, lists []*fakes.Discovery, entries map[string]string) {
	entries = map[string]string{}
	for n := range large {
		name := fmt.Sprintf("host-%04d.a-name-as-machines-have-them.example", n)
		entries[name] = fakes.EntryIn(largeZone(n), name, fmt.Sprintf("127.106.%d.%d:50000", 100+n/100, 100+n%100), "std", "Ready", 1, 0)
	}
	settings := largeSettings(t)
	w = quietTown(t, seed, 4, 3, func(p *process) {
		list := fakes.NewDiscovery()
		t.Cleanup(list.Close)
		list.Count(4)
		list.Tell(entries)
		lists = append(lists, list)
		for file, changes := range map[string][2]string{p.config: {"127.0.0.1:1", list.Address}, p.own: {"most = 4\n", fmt.Sprintf("most = %d\n", large)}} {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			changed := strings.Replace(strings.Replace(string(text), changes[0], changes[1], 1), fakes.Settings, settings, 1)
			if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	})
	w.agree(1)
	return w, lists, entries
}

// door is what a process tells of itself, whole.
func (p *process) tells(t *testing.T, into any) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.door + "/fleet")
	if err != nil {
		return // It is asked again.
	}
	defer answer.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(answer.Body); err == nil {
		json.Unmarshal(text.Bytes(), into)
	}
}

// TestAThousandDrains: a fleet loses a third of its messages, and one of its processes has a list in which all of 1,024 hosts drain at once. All of these
// count for the others, whose lists are late, and nobody is taken for gone meanwhile.
func TestAThousandDrains(t *testing.T) {
	t.Parallel()
	w, lists, entries := largeTown(t, 21)
	w.faults(func(i, j int) between.Faults { return between.Faults{Loss: 0.3} })
	drained := map[string]string{}
	for name, entry := range entries {
		drained[name] = strings.Replace(entry, "Ready", "Terminating", 1)
	}
	lists[0].Tell(drained)
	for n, p := range w.procs[1:] {
		until(t, fmt.Sprintf("all drains counting for process %d", n+1), func() bool {
			s, err := p.status()
			return err == nil && len(s.News) == large
		})
	}
	w.heal()
	for _, p := range w.procs {
		until(t, "all members being heard, under leases", func() bool {
			var s struct {
				Acting  struct{ Leased bool }
				Members []struct{ Gone bool }
			}
			p.tells(t, &s)
			gone := 0
			for _, m := range s.Members {
				if m.Gone {
					gone++
				}
			}
			return s.Acting.Leased && len(s.Members) == len(w.procs) && gone == 0
		})
	}
}

// TestAThousandBansAndZones: a fleet, of which one process is cut off at first, agrees that 1,024 hosts are out and two in three of 1,024 zones are left, by one
// proposal each. One that is killed and starts again acts on all of it from its first moment on, alone, and stands where the others do.
func TestAThousandBansAndZones(t *testing.T) {
	t.Parallel()
	w, _, entries := largeTown(t, 22)
	var hosts, zones []string
	for name := range entries {
		hosts = append(hosts, name)
	}
	for n := range 2 * large / 3 {
		zones = append(zones, largeZone(n))
	}
	w.faults(func(i, j int) between.Faults { return between.Faults{Cut: i == 3 || j == 3, Loss: 0.1} })
	version := uint64(1)
	for _, p := range []fleetconfig.Proposal{{ID: "bans", EjectEndpoints: hosts}, {ID: "zones", EvacuateZones: zones}} {
		until(t, "accepting the "+p.ID, func() bool {
			a, err := w.procs[0].propose(p)
			if err == nil && a.Reason != "" && a.IsFinal && !strings.HasPrefix(a.Reason, "nobody leads") {
				t.Fatal(a.Reason)
			}
			version = max(version, a.Revision)
			return err == nil && a.Revision != 0
		})
	}
	w.heal()
	w.agree(version)
	type stands struct {
		Acting struct {
			Bans []string `json:"bans"`
			Left []string `json:"zones_left"`
		}
		Zones []struct {
			Part float64 `json:"part_away"`
		}
	}
	away := func(s stands) (n int) {
		for _, z := range s.Zones {
			if z.Part > 0 {
				n++
			}
		}
		return n
	}
	for _, p := range w.procs {
		until(t, "going out of all zones", func() bool {
			var s stands
			p.tells(t, &s)
			return len(s.Acting.Bans) == large && len(s.Acting.Left) == len(zones) && away(s) == len(zones)
		})
	}
	last := w.procs[3]
	w.kill(last)
	w.faults(func(i, j int) between.Faults { return between.Faults{Cut: i == 3 || j == 3} })
	w.start(last)
	var s stands
	until(t, "its first word", func() bool { last.tells(t, &s); return len(s.Acting.Bans) > 0 })
	if len(s.Acting.Bans) != large || len(s.Acting.Left) != len(zones) {
		t.Errorf("alone it acts on %d hosts out and %d zones left", len(s.Acting.Bans), len(s.Acting.Left))
	}
	w.heal()
	w.agree(version)
	until(t, "standing with the others", func() bool { s = stands{}; last.tells(t, &s); return away(s) == len(zones) })
}
