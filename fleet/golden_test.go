package fleet

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollylever/consensus"
	"hollylever/evacuation"
	"hollylever/membership"
	"hollylever/outlier"
	"hollylever/subset"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// golden compares got with a golden file in testdata.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Errorf("%v; got\n%.4000s", err, got)
	} else if !bytes.Equal(got, want) {
		t.Errorf("got differs from the golden file %s:\n%.4000s", path, got)
	}
}

// recordingBalancer is a fake Balancer that records the applied configuration and does nothing else.
type recordingBalancer struct {
	configsApplied int
	lastConfig     consensus.EffectiveConfig
}

func (b *recordingBalancer) ApplyConfig(config consensus.EffectiveConfig) {
	b.configsApplied++
	b.lastConfig = config
}
func (*recordingBalancer) ApplyPeerDrains([]string) {}
func (*recordingBalancer) EndpointList() (uint64, uint64, []membership.DrainedEndpoint) {
	return 7, 8, nil
}
func (*recordingBalancer) Endpoints() []subset.Endpoint                    { return nil }
func (*recordingBalancer) SetConnectionSubset(map[string]bool, bool)       {}
func (*recordingBalancer) ApplyPeerVerdicts(map[string]float64)            {}
func (*recordingBalancer) SetBudgetShare(float64)                          {}
func (*recordingBalancer) RequestCount() int                               { return 0 }
func (*recordingBalancer) SetEvacuation(map[string]float64, time.Duration) {}
func (*recordingBalancer) SlowStartDuration() time.Duration                { return time.Second }
func (*recordingBalancer) ReadCounts() (int, int)                          { return 0, 0 }
func (*recordingBalancer) SetWidespreadMisses(bool)                        {}

var sampleConfig = consensus.ReplicatedConfig{EjectedEndpoints: []string{"h1", "h2"}, Limits: map[string]int64{"held": 100, "quota.acme": 5}, SettingsDigest: "0123456789abcdef",
	DiscoverySource: "10.0.0.1:7000", MinListIndex: 12, EvacuatedZones: []string{"fails:z2", "z1"}}

// Operators' tools read the response of /fleet by its JSON keys. They find no value under a changed key, so the keys
// must not follow renamed Go fields.
func TestStatusJSONKeys(t *testing.T) {
	member := membership.MemberState{Name: "b1", Zone: "z1", Incarnation: 5, IsReplica: true, IsLeader: true, HasLease: true, MinRevision: 3, LatestRevision: 4, ListIndex: 9, ListDigest: 10,
		Drains: []membership.DrainedEndpoint{{Host: "h3", Index: 8}}, SettingsDigest: "0123456789abcdef", Evacuations: []membership.ZoneEvacuation{{Zone: "z1", KeyFraction: 0.5}}, Seq: 11, CompleteListsDigest: 12}
	revisions := []consensus.Revision{{Number: 3, ProposalID: "p3", Author: "ann", Reason: "disk", Config: sampleConfig}, {Number: 4}}
	full := Status{Name: "b1", Zone: "z1", Leader: "b2", Effective: consensus.EffectiveConfig{MinRevision: 3, LatestRevision: 4, IsLeased: true, BudgetShare: 0.25, ReplicatedConfig: sampleConfig}, MaxDisagreement: "1.986s",
		LeaseLeftMS: 321, DecisionsWithoutLease: 1, DecisionsUnderLease: 2, MessagesDropped: 3, Members: []MemberStatus{{MemberState: member}, {MemberState: membership.MemberState{Name: "b2"}, HeardMSAgo: 44, IsGone: true}}, PeerDrains: []string{"h9"},
		Replica: &ReplicaStatus{IsLeader: true, IsBootstrapped: true, ActiveLeases: 6}, Revisions: revisions,
		Outliers: &OutlierStatus{Sent: 1, Accepted: 2, Stale: 3, Invalid: 4, Dropped: 5, WidespreadMisses: true, Endpoints: []outlier.EndpointStatus{{ID: 1, Endpoint: "h1", Reporters: 2, ReporterZones: 3, ConsecutiveFailures: 4,
			OwnConsecutiveFailures: 5, Ejected: true, HoldsProbeLease: true, Penalty: 0.75, EjectedMillis: 66}, {Endpoint: "h2", Ejected: true, Penalty: 0.5, EjectedMillis: 7}, {Endpoint: "h4", Ejected: true}, {Endpoint: "h5"}}},
		Subset: []string{"h1", "h2"}, Zones: []ZoneStatus{{Zone: "z1", Endpoints: 4, Failing: 1, IsOwn: true, EvacuatedByOperator: true, Share: 0.5},
			{Zone: "z2", Endpoints: 4, Failing: 4, EvacuatedAutomatically: true, Share: 1}, {Zone: "z3", Endpoints: 5, Share: 0.25}, {Zone: "z4", Endpoints: 2, EvacuatedByOperator: true, EvacuatedAutomatically: true, Share: 1}}}
	w := httptest.NewRecorder()
	writeJSON(w, full)
	golden(t, "status.json", w.Body.Bytes())
	w = httptest.NewRecorder()
	writeJSON(w, Status{})
	golden(t, "status_empty.json", w.Body.Bytes())
	w = httptest.NewRecorder()
	writeJSON(w, revisions)
	golden(t, "history.json", w.Body.Bytes())
}

// Scripts match the status codes and texts of the responses, including those to invalid calls.
func TestAdminCallResponses(t *testing.T) {
	f := newUnjoinedFleet(t, "", &recordingBalancer{})
	var out strings.Builder
	for _, call := range []struct{ method, path, body string }{
		{"POST", "/fleet", ""}, {"DELETE", "/fleet/history", ""}, {"GET", "/fleet/propose", ""}, {"GET", "/fleet/x", ""}, {"GET", "/fleet/", ""},
		{"POST", "/fleet/propose", "noise"}, {"POST", "/fleet/propose", `{"outs":["a"]}`}, {"POST", "/fleet/propose", `{"out":["a"]}`},
		{"POST", "/fleet/propose", `{"id":"p","out":["a"],"back":["a"]}`}, {"POST", "/fleet/propose", `{"id":"p","leave":[""]}`}, {"GET", "/fleet/history", ""},
	} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(call.method, "http://admin"+call.path, strings.NewReader(call.body)))
		fmt.Fprintf(&out, "%s %s %s\n%d %s\n%s\n", call.method, call.path, call.body, w.Code, w.Header().Get("Content-Type"), w.Body)
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://admin/fleet", nil))
	var s map[string]any // "t" is MaxDisagreement: a lease of 1.5 s, extended by both clocks' errors, and a pause of 0.3 s.
	if err := json.Unmarshal(w.Body.Bytes(), &s); err != nil || w.Code != http.StatusOK || s["name"] != "b1" || s["t"] != "1.803s" {
		t.Errorf("%d, %v, %s", w.Code, err, w.Body)
	}
	golden(t, "calls.golden", []byte(out.String()))
}

// newUnjoinedFleet returns a Fleet that has not joined. handover is the path of its handover file; "" means no file.
func newUnjoinedFleet(t *testing.T, handover string, balancer Balancer) *Fleet {
	t.Helper()
	timing := consensus.LeaseTiming{LeaseDuration: 1500 * time.Millisecond, ClockRateError: 0.001, MaxPause: 300 * time.Millisecond}
	f := &Fleet{name: "b1", zone: "z1", settingsDigest: "0123456789abcdef", leaseTiming: timing, voters: []string{"b1"}, balancer: balancer, log: zerolog.Nop(), handover: handoverFile(handover),
		proposals: map[string]chan reply{}, evacuation: evacuationState{ramps: map[string]*evacuation.Ramp{}}}
	f.holder = consensus.NewLeaseHolder(Now(), f.name, 1, timing, f.voters, f, func(n int) int { return n - 1 })
	return f
}

// After an upgrade a process acts on the handover file of the previous one. If it could not read the format,
// endpoints that the fleet ejected would get requests again.
func TestHandoverFileFormat(t *testing.T) {
	plain := []consensus.Revision{{Number: 3, ProposalID: "p3", Author: "ann", Reason: "disk", Config: sampleConfig}, {Number: 4, ProposalID: "p4", Config: consensus.ReplicatedConfig{EjectedEndpoints: []string{"h1"}}}}
	var many []consensus.Revision
	for n := range uint64(maxPlainRevisions + 1) {
		many = append(many, consensus.Revision{Number: n + 3, ProposalID: fmt.Sprint("p", n), Config: consensus.ReplicatedConfig{EjectedEndpoints: []string{fmt.Sprint("h", n)}, MinListIndex: n}})
	}
	// Up to maxPlainRevisions are written as plain JSON, more as a chain.
	for name, revisions := range map[string][]consensus.Revision{"plain.hollylever.fleet": plain, "chain.hollylever.fleet": many} {
		if *update {
			f := newUnjoinedFleet(t, filepath.Join("testdata", name), &recordingBalancer{})
			f.holder.Restore(3, revisions)
			f.effective = f.holder.EffectiveConfig(Now())
			f.evacuation.ramps["z2"] = &evacuation.Ramp{}
			f.evacuation.ramps["z2"].Resume(0.25, 1, 2) // a share of 0.25, reached at time 1
			f.writeHandover()
		}
		content, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		path, balancer := filepath.Join(t.TempDir(), "hollylever.fleet"), &recordingBalancer{}
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		f := newUnjoinedFleet(t, path, balancer)
		f.restoreHandover()
		latest := revisions[len(revisions)-1].Number
		if applied := balancer.lastConfig; balancer.configsApplied != 1 || applied.MinRevision != 3 || applied.LatestRevision != latest || applied.IsLeased || len(applied.EjectedEndpoints) == 0 {
			t.Errorf("%s: applied %d times, last %+v; want once, revisions 3 to %d without a lease, with ejected endpoints", name, balancer.configsApplied, applied, latest)
		}
		for n, v := range f.holder.Revisions() {
			if v.Digest() != revisions[n].Digest() {
				t.Errorf("%s: revision %d differs", name, v.Number)
			}
		}
		if share, at := f.evacuation.ramps["z2"].Position(); share != 0.25 || at != 1 {
			t.Errorf("%s: share of z2 is %v at %d, want 0.25 at 1", name, share, at)
		}
		f.writeHandover()
		if rewritten, err := os.ReadFile(path); err != nil || !bytes.Equal(rewritten, content) {
			t.Errorf("%s: rewritten file differs, %v:\n%s", name, err, rewritten)
		}
	}
	for _, malformed := range []string{"", "{", `{"floor":5,"versions":[{"version":4}]}`, `{"floor":4,"versions":[{"version":4},{"version":6}]}`, `{"floor":1,"chain":"AAAA"}`} {
		path, balancer := filepath.Join(t.TempDir(), "hollylever.fleet"), &recordingBalancer{}
		if err := os.WriteFile(path, []byte(malformed), 0o600); err != nil {
			t.Fatal(err)
		}
		if f := newUnjoinedFleet(t, path, balancer); true {
			if f.restoreHandover(); balancer.configsApplied != 0 || f.effective.LatestRevision != 0 {
				t.Errorf("malformed file %q was applied", malformed)
			}
		}
	}
}

// The file format must stay readable: a process whose incarnation is not above the previous one's would be ignored by
// its peers as outdated.
func TestIncarnationFileFormat(t *testing.T) {
	folder, now := t.TempDir(), time.UnixMilli(1_700_000_000_000)
	first := nextIncarnation(folder, now, 12345)
	content, err := os.ReadFile(filepath.Join(folder, "hollylever.incarnation"))
	if err != nil || first != 1_700_000_000_000<<22|12345 {
		t.Errorf("got %d, %v; want 7130316800000012345", first, err)
	}
	golden(t, "hollylever.incarnation", content)
	fixture, _ := os.ReadFile("testdata/hollylever.incarnation")
	if err := os.WriteFile(filepath.Join(folder, "hollylever.incarnation"), fixture, 0o600); err != nil {
		t.Fatal(err)
	}
	if next := nextIncarnation(folder, now.Add(-time.Hour), 3); next != (1_700_000_000_000+1)<<22|3 {
		t.Errorf("after the clock was stepped back: %d, want 7130316800004194307", next)
	}
}
