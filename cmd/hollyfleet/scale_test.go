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

// largeSize is how many hosts, zones and balancers the settings have in the tests of size.
const largeSize = 1024

func largeZone(n int) string { return fmt.Sprintf("zone-%04d", n) }

// largeSettings are the usual ones with largeSize zones and balancers.
func largeSettings(t *testing.T) string {
	var zones []string
	for n := range largeSize {
		zones = append(zones, largeZone(n))
	}
	names, err := json.Marshal(zones)
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.Replace(fakes.Settings, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, largeSize), 1)
	return strings.Replace(settings, `"zones":["z"]`, `"zones":`+string(names), 1)
}

// newLargeCluster starts a few processes of a fleet that may have a thousand, each with a list of its own of a
// thousand hosts, each of these in its own zone.
func newLargeCluster(t *testing.T, seed uint64) (c *cluster, lists []*fakes.Discovery, entries map[string]string) {
	entries = map[string]string{}
	for n := range largeSize {
		name := fmt.Sprintf("host-%04d.a-name-as-machines-have-them.example", n)
		entries[name] = fakes.EntryIn(largeZone(n), name, fmt.Sprintf("127.106.%d.%d:50000", 100+n/100, 100+n%100), "std", "Ready", 1, 0)
	}
	settings := largeSettings(t)
	c = newIdleCluster(t, seed, 4, 3, func(p *process) {
		list := fakes.NewDiscovery()
		t.Cleanup(list.Close)
		list.SetIndex(4)
		list.UpdateEntries(entries)
		lists = append(lists, list)
		for file, changes := range map[string][2]string{p.configFile: {"127.0.0.1:1", list.Address}, p.settingsFile: {"most = 4\n", fmt.Sprintf("most = %d\n", largeSize)}} {
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
	c.waitForAgreement(1)
	return c, lists, entries
}

// readStatus decodes the status of a process, however long it is; into stays as it is where the process does not
// answer.
func (p *process) readStatus(t *testing.T, into any) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.adminAddress + "/fleet")
	if err != nil {
		return // It is asked again.
	}
	defer answer.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(answer.Body); err == nil {
		json.Unmarshal(text.Bytes(), into)
	}
}

// All of 1,024 hosts drain at once by the list of one process, the others' lists are late, and a third of all
// messages is lost. A state that is cut to one datagram told the others of 64 of them: all drains have to apply
// everywhere, and no member may be taken for gone meanwhile.
func TestAThousandDrainsReachAllMembers(t *testing.T) {
	t.Parallel()
	c, lists, entries := newLargeCluster(t, 21)
	c.setFaults(func(i, j int) between.Faults { return between.Faults{Loss: 0.3} })
	drained := map[string]string{}
	for name, entry := range entries {
		drained[name] = strings.Replace(entry, "Ready", "Terminating", 1)
	}
	lists[0].UpdateEntries(drained)
	for n, p := range c.processes[1:] {
		waitFor(t, fmt.Sprintf("all drains counting for process %d", n+1), func() bool {
			s, err := p.status()
			return err == nil && len(s.PeerDrains) == largeSize
		})
	}
	c.heal()
	for _, p := range c.processes {
		waitFor(t, "all members being heard, under leases", func() bool {
			var s struct {
				Acting struct {
					IsLeased bool `json:"Leased"`
				} `json:"acting"`
				Members []struct {
					IsGone bool `json:"gone"`
				} `json:"members"`
			}
			p.readStatus(t, &s)
			gone := 0
			for _, m := range s.Members {
				if m.IsGone {
					gone++
				}
			}
			return s.Acting.IsLeased && len(s.Members) == len(c.processes) && gone == 0
		})
	}
}

// Operators eject 1,024 hosts and evacuate two in three of 1,024 zones, by one proposal each, while one process is
// cut off. It has to get all of it in one lease response; and after it was killed it has to act on all of it from its
// first moment on, without a lease, from the handover file.
func TestAThousandEjectionsAndEvacuationsApplyEverywhere(t *testing.T) {
	t.Parallel()
	c, _, entries := newLargeCluster(t, 22)
	var hosts, zones []string
	for name := range entries {
		hosts = append(hosts, name)
	}
	for n := range 2 * largeSize / 3 {
		zones = append(zones, largeZone(n))
	}
	c.setFaults(func(i, j int) between.Faults { return between.Faults{Cut: i == 3 || j == 3, Loss: 0.1} })
	version := uint64(1)
	for _, p := range []fleetconfig.Proposal{{ID: "bans", EjectEndpoints: hosts}, {ID: "zones", EvacuateZones: zones}} {
		waitFor(t, "accepting the "+p.ID, func() bool {
			a, err := c.processes[0].propose(p)
			if err == nil && a.Reason != "" && a.IsFinal && !strings.HasPrefix(a.Reason, "nobody leads") {
				t.Fatal(a.Reason)
			}
			version = max(version, a.Revision)
			return err == nil && a.Revision != 0
		})
	}
	c.heal()
	c.waitForAgreement(version)
	type stands struct {
		Acting struct {
			EjectedEndpoints []string `json:"bans"`
			EvacuatedZones   []string `json:"zones_left"`
		} `json:"acting"`
		Zones []struct {
			Share float64 `json:"part_away"`
		} `json:"zones"`
	}
	away := func(s stands) (n int) {
		for _, z := range s.Zones {
			if z.Share > 0 {
				n++
			}
		}
		return n
	}
	for _, p := range c.processes {
		waitFor(t, "going out of all zones", func() bool {
			var s stands
			p.readStatus(t, &s)
			return len(s.Acting.EjectedEndpoints) == largeSize && len(s.Acting.EvacuatedZones) == len(zones) && away(s) == len(zones)
		})
	}
	last := c.processes[3]
	c.kill(last)
	c.setFaults(func(i, j int) between.Faults { return between.Faults{Cut: i == 3 || j == 3} })
	c.start(last)
	var s stands
	waitFor(t, "its first status", func() bool { last.readStatus(t, &s); return len(s.Acting.EjectedEndpoints) > 0 })
	if len(s.Acting.EjectedEndpoints) != largeSize || len(s.Acting.EvacuatedZones) != len(zones) {
		t.Errorf("alone it acts on %d hosts out and %d zones left", len(s.Acting.EjectedEndpoints), len(s.Acting.EvacuatedZones))
	}
	c.heal()
	c.waitForAgreement(version)
	waitFor(t, "standing with the others", func() bool { s = stands{}; last.readStatus(t, &s); return away(s) == len(zones) })
}
