package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hollylever/fakes/between"
	"hollylever/fleetconfig"
)

// accord makes the demo's balancers one fleet, with a relay for each ordered pair of them.
type accord struct {
	relays [][]*between.Relay
	owns   []string // files of our own settings
}

const (
	accordLease = "400ms" // shorter than the default, as a demo is short: T is 558 ms
	accordPause = "150ms"
	agreeFor    = 8 * time.Second
)

// newAccord names ports for n processes and writes their settings into a folder.
func newAccord(folder string, n int) (*accord, error) {
	a := &accord{}
	var at, names []string
	for i := range n {
		address, err := between.Free()
		if err != nil {
			return a, err
		}
		at, names = append(at, address), append(names, fmt.Sprint("n", i+1))
	}
	for i := range n {
		var row []*between.Relay
		var peers []string
		for j := range n {
			r, err := between.New(at[j], uint64(i*n+j))
			if err != nil {
				return a, err
			}
			row = append(row, r)
			to := r.Address()
			if i == j {
				to = at[j]
			}
			peers = append(peers, names[j]+"="+to)
		}
		a.relays = append(a.relays, row)
		own := filepath.Join(folder, names[i]+".toml")
		text := fmt.Sprintf("[fleet]\non = true\nlisten = %q\npeers = %q\nkeepers = %q\nstate = %q\nlease = %q\npause = %q\n", at[i], strings.Join(peers, ", "),
			strings.Join(names, ", "), filepath.Join(folder, names[i]+".state"), accordLease, accordPause)
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return a, err
		}
		a.owns = append(a.owns, own)
	}
	return a, nil
}

func (a *accord) close() {
	for _, row := range a.relays {
		for _, r := range row {
			r.Close()
		}
	}
}

// apart cuts one from the others, or ends that.
func (a *accord) apart(one int, cut bool) {
	for i, row := range a.relays {
		for j, r := range row {
			r.Set(between.Faults{Cut: cut && (i == one) != (j == one)})
		}
	}
}

// actsOn is what a balancer's door says that it acts on.
type actsOn struct {
	Leads  string `json:"leads"`
	Acting struct {
		Floor, Latest uint64
		Leased        bool
		Bans          []string `json:"bans"`
		Left          []string `json:"zones_left"`
	} `json:"acting"`
}

func (w *town) actsOn(n int) (s actsOn, err error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + w.processes[n].Mgmt + "/fleet")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// propose asks through a balancer's door; it gives the version, 0 if none came of it.
func (w *town) propose(n int, p fleetconfig.Proposal) uint64 {
	p.ID, p.Author = rand.Text(), "demo"
	body, _ := json.Marshal(p)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+w.processes[n].Mgmt+"/fleet/propose", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	var said fleetconfig.ProposalResult
	if json.NewDecoder(answer.Body).Decode(&said) != nil {
		return 0
	}
	return said.Revision
}

// accepted proposes again and again, until a majority accepts or it has taken too long; then it gives 0.
func (w *town) accepted(ctx context.Context, n int, p fleetconfig.Proposal) (version uint64) {
	for end := time.Now().Add(agreeFor); version == 0 && time.Now().Before(end) && ctx.Err() == nil; {
		version = w.propose(n, p)
	}
	return version
}

// agree waits until all act on this version, under leases; what does not come is wrong.
func (w *town) agree(ctx context.Context, version uint64) {
	for end := time.Now().Add(agreeFor); time.Now().Before(end); {
		all := true
		for n := range w.processes {
			s, err := w.actsOn(n)
			all = all && err == nil && s.Acting.Leased && s.Acting.Latest >= version && s.Acting.Floor == s.Acting.Latest
		}
		if all || ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.wrong("the balancers do not agree on version %d", version)
}

// cutApart: a ban is agreed on while one balancer is cut off; it says that it is alone, and takes the ban when it is
// back.
func cutApart(ctx context.Context, w *town, over time.Duration) {
	host, last := w.hosts[1].Name, balancerCount-1
	w.agree(ctx, 1)
	w.accord.apart(last, true)
	out := w.accepted(ctx, 0, fleetconfig.Proposal{EjectEndpoints: []string{host}, Reason: "demo: cut"})
	if out == 0 && ctx.Err() == nil {
		w.wrong("a majority does not accept a ban")
	}
	pause(ctx, max(over/2, 700*time.Millisecond))
	if s, err := w.actsOn(last); err != nil || s.Acting.Leased {
		w.wrong("who is cut off takes itself for part of the fleet")
	}
	w.accord.apart(last, false)
	w.agree(ctx, out)
	if s, err := w.actsOn(last); ctx.Err() == nil && (err != nil || len(s.Acting.Bans) != 1) {
		w.wrong("who is back does not have the ban")
	}
	w.agree(ctx, w.propose(last, fleetconfig.Proposal{UnejectEndpoints: []string{host}, Reason: "demo: over"}))
}

// stopped: the keeper that leads is stopped for longer than a lease, and goes on as if nothing had been.
func stopped(ctx context.Context, w *town, over time.Duration) {
	w.agree(ctx, 1)
	s, _ := w.actsOn(0)
	for n, p := range w.processes {
		if s.Leads != fmt.Sprint("n", n+1) {
			continue
		}
		p.Cmd.Process.Signal(syscall.SIGSTOP)
		pause(ctx, 700*time.Millisecond)
		p.Cmd.Process.Signal(syscall.SIGCONT)
	}
	version := w.accepted(ctx, 1, fleetconfig.Proposal{Limits: map[string]int64{"held": 10000}, Reason: "demo: pause"})
	w.agree(ctx, version)
}

// died: the keeper that leads is killed. What it held dies with it; the others lose nothing, and lead without it. It
// comes back, with its file.
func died(ctx context.Context, w *town, over time.Duration) {
	w.agree(ctx, 1)
	s, _ := w.actsOn(0)
	at := 0
	for at < balancerCount && s.Leads != fmt.Sprint("n", at+1) {
		at++
	}
	if at == balancerCount {
		w.wrong("nobody leads")
		return
	}
	w.killed = at + 1
	w.processes[at].Kill()
	version := w.accepted(ctx, (at+1)%balancerCount, fleetconfig.Proposal{Limits: map[string]int64{"held": 10000}, Reason: "demo: die"})
	if version == 0 && ctx.Err() == nil {
		w.wrong("the two that are left accept nothing")
	}
	young, err := w.platforms[at].Start()
	if err != nil {
		w.wrong("balancer %d does not come back: %v", at+1, err)
		return
	}
	w.mu.Lock()
	w.processes[at] = young
	w.mu.Unlock()
	w.agree(ctx, version)
}
