package benchlink

import (
	"bufio"
	"encoding/base64"
	"errors"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"hollylever/policy"
	"hollylever/tables"
)

var outcomes = map[uint64]policy.Outcome{10: policy.OK, 20: policy.Errored, 30: policy.Rejected,
	40: policy.TimedOut, 50: policy.ConnectFailed, 60: policy.Reset, 70: policy.Cancelled, 80: policy.NotSent,
	90: policy.CacheMiss}
var scopes = map[string]policy.UpdateKind{"INCREMENTAL": policy.IncrementalList, "FULL": policy.FullList,
	"SAVED": policy.SavedList, "FAILED": policy.UpdateFailed}
var healths = map[string]policy.Health{"ready": policy.Ready, "draining": policy.Draining,
	"gone": policy.Removed}

// slot ties a retrieval's small index to its id. It is free again once that has ended and no trip is out.
type slot struct {
	id       uint64
	out      int
	ended    bool
	workload int
}

// instance is one balancer: the module and its index tables. Instances share nothing but the reply's buffer.
type instance struct {
	name      string
	module    *policy.Balancer
	reply     *writer
	hosts     map[string]int
	addresses []string
	ids       map[uint64]int
	slots     []slot
	indices   tables.Indices
	workloads map[string]int
	tenants   map[string]int
	kinds     map[string]int
	zones     map[string]int
	fields    map[string]int // of load reports
	load      []float64
	peers     *peers // nil: balancers may not talk
}

func (n *instance) take(id uint64) int {
	i := n.indices.Take()
	if i == len(n.slots) {
		n.slots = append(n.slots, slot{})
	}
	n.slots[i] = slot{id: id}
	n.ids[id] = i
	return i
}

func (n *instance) release(i int) {
	s := &n.slots[i]
	if at, held := n.ids[s.id]; held && at == i && s.ended && s.out == 0 {
		delete(n.ids, s.id)
		n.indices.Give(i)
	}
}

// Send and the methods after it are the module's Host.
func (n *instance) Send(retrieval, server int, until int64) {
	n.slots[retrieval].out++
	n.tries(server)
	n.reply.start("issue", n.name)
	n.reply.whole("id", n.slots[retrieval].id)
	n.reply.text("host", n.addresses[server])
	if until > 0 {
		n.reply.span("until", until)
	}
	n.reply.end()
}

// Reject answers a request with the promise of no effect.
func (n *instance) Reject(retrieval int, _ policy.Reason, comeBack int64) {
	n.reply.start("push_back", n.name)
	n.reply.whole("id", n.slots[retrieval].id)
	if comeBack > 0 {
		n.reply.span("coolDown", comeBack)
	}
	n.reply.end()
	n.slots[retrieval].ended = true
	n.release(retrieval)
}

// Fail answers a request with an error: it may have had its effect.
func (n *instance) Fail(retrieval int, _ policy.Reason) {
	n.reply.start("finish_error", n.name)
	n.reply.whole("id", n.slots[retrieval].id)
	n.reply.end()
	n.slots[retrieval].ended = true
	n.release(retrieval)
}

// Cancel ends an attempt whose answer nobody needs.
func (n *instance) Cancel(retrieval, trip int) {
	n.reply.start("revoke", n.name)
	n.reply.whole("id", n.slots[retrieval].id)
	n.reply.whole("leg", uint64(trip))
	n.reply.end()
}

// Wake sets a timer.
func (n *instance) SetTimer(tag int, after int64) {
	n.reply.start("schedule", n.name)
	n.reply.whole("tag", uint64(tag))
	n.reply.span("offset", after)
	n.reply.end()
}

// Subscribe has changes of the list told.
func (n *instance) WatchEndpoints() {
	n.reply.start("stream_changes", n.name)
	n.reply.text("on", "1")
	n.reply.end()
}

// Run plays batches until the input ends between two of them.
func Run(input io.Reader, output io.Writer) error {
	in := &reader{in: bufio.NewReaderSize(input, 1<<20)}
	reply := &writer{}
	instances := map[string]*instance{}
	for {
		if err := in.next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if in.name == "" {
			continue
		}
		if in.name != "sync" {
			in.complain(in.name, "a batch starts with 'sync'")
		}
		now := in.span("wall", true)
		round, _ := in.whole("round", true)
		reply.out = reply.out[:0]
		for in.bad == nil {
			if err := in.next(); errors.Is(err, io.EOF) {
				in.line++
				in.complain("commit", "the input ends within a batch")
				break
			} else if err != nil {
				return err
			}
			if in.name == "commit" {
				break
			}
			event(in, reply, instances, now)
		}
		if in.bad != nil {
			return in.bad
		}
		reply.out = append(reply.out, "ack"...)
		reply.whole("round", round)
		reply.end()
		if _, err := output.Write(reply.out); err != nil {
			return err
		}
	}
}

// event reads one line and calls the module.
func event(in *reader, reply *writer, instances map[string]*instance, now int64) {
	switch in.name {
	case "init", "members", "ask", "wake", "down", "check_result", "first_byte", "neighbour_says",
		"completed", "aborted":
	default:
		in.complain(in.name, "unknown event")
		return
	}
	balancer := in.text("balancer")
	if in.name == "init" {
		begin(in, reply, instances, string(balancer), now)
		return
	}
	n := instances[string(balancer)]
	if in.bad == nil && n == nil {
		in.complain("balancer", "not begun: "+strconv.Quote(string(balancer)))
	}
	if in.bad != nil {
		return
	}
	switch in.name {
	case "down":
		delete(instances, n.name)
	case "members":
		members(in, n, now)
	case "ask":
		ask(in, n, now)
	case "wake":
		if tag, _ := in.whole("tag", true); in.bad == nil {
			n.module.HandleTimer(now, int(tag))
		}
	case "check_result":
		server := host(in, n)
		outcome(in)
		in.span("took", true)
		if in.bad == nil {
			reported(in, n, server) // Nothing is probed: how one ended and how long it took tell nothing more.
		}
	case "first_byte":
		id, _ := in.whole("id", true)
		leg, _ := in.whole("leg", true)
		host(in, n)
		if i, known := n.ids[id]; known && in.bad == nil {
			n.module.HandleResponseStarted(i, int(leg))
		}
	case "completed":
		completed(in, n, now)
	case "aborted":
		id, _ := in.whole("id", true)
		if i, known := n.ids[id]; known && in.bad == nil {
			n.slots[i].ended = true
			n.module.HandleClientCancelled(now, i)
			n.release(i)
		}
	case "neighbour_says":
		from, _ := in.whole("from", true)
		blob := in.text("blob")
		if string(blob) == "-" {
			blob = nil
		}
		data, err := base64.StdEncoding.DecodeString(string(blob))
		if err != nil {
			in.complain("blob", "not base64: "+strconv.Quote(string(blob)))
		}
		if in.bad == nil {
			n.hears(now, from, data)
		}
	}
}

func begin(in *reader, reply *writer, instances map[string]*instance, name string, now int64) {
	seed, _ := in.whole("randomSeed", true)
	env := in.text("env")
	if in.bad == nil && (!gjson.ValidBytes(env) || !gjson.ParseBytes(env).IsObject()) {
		in.complain("env", "not a JSON object")
	}
	if in.bad != nil {
		return
	}
	settings := tables.Flat(gjson.ParseBytes(env))
	n := &instance{name: name, reply: reply, hosts: map[string]int{}, ids: map[uint64]int{},
		workloads: tables.Places(settings, "workloads", ".name"), tenants: tables.Places(settings, "tenants", ".name"),
		kinds: tables.Places(settings, "hostTypes", ""), zones: tables.Places(settings, "zones", ""),
		fields: tables.Places(settings, "report.fields", "")}
	n.load = make([]float64, len(n.fields))
	instances[name] = n
	n.module = policy.New(now, seed, settings, n)
	n.peers = newPeers(now, settings)
}

func place(in *reader, field string, table map[string]int, need bool) int {
	value := in.find(field)
	if i, known := table[string(value)]; known {
		return i
	}
	if need || (value != nil && string(value) != "0" && len(value) > 0) {
		if value == nil {
			in.complain(field, "missing in '"+in.name+"'")
		} else {
			in.complain(field, "unknown name: "+strconv.Quote(string(value)))
		}
	}
	return -1
}

func host(in *reader, n *instance) int { return place(in, "host", n.hosts, true) }

func outcome(in *reader) policy.Outcome {
	code, _ := in.whole("how", true)
	how, known := outcomes[code]
	if !known {
		in.complain("how", "unknown outcome")
	}
	return how
}

func members(in *reader, n *instance, now int64) {
	scope, known := scopes[string(in.text("scope"))]
	if !known {
		in.complain("scope", "unknown name: "+strconv.Quote(string(in.find("scope"))))
	}
	in.whole("rev", scope != policy.UpdateFailed)
	lines, _ := in.whole("lines", scope != policy.UpdateFailed)
	if in.bad != nil {
		return
	}
	n.module.BeginEndpointUpdate(scope)
	for range lines {
		if in.next() != nil || in.name != "row" {
			in.complain("lines", "fewer rows than it says")
			return
		}
		address := string(in.text("host"))
		health, known := healths[string(in.text("health"))]
		if !known {
			in.complain("health", "unknown name: "+strconv.Quote(string(in.find("health"))))
		}
		kind := place(in, "machine", n.kinds, false)
		zone := place(in, "regionPart", n.zones, false)
		cell, _ := in.whole("stripe", false)
		started := in.span("bootTime", false)
		if in.bad != nil {
			return
		}
		server, known := n.hosts[address]
		if !known {
			server = len(n.addresses)
			n.hosts[address] = server
			n.addresses = append(n.addresses, address)
		}
		n.module.UpdateEndpoint(now, server, policy.EndpointInfo{Address: address, Health: health, StartedAt: started, MachineType: kind, Zone: zone, ReplicaGroup: int(cell), Weight: in.number("heft", false)})
	}
	n.module.CommitEndpointUpdate(now)
	n.peers.listed(n.addresses)
}

func ask(in *reader, n *instance, now int64) {
	id, _ := in.whole("id", true)
	patience := in.span("patienceLeft", true)
	workload := place(in, "category", n.workloads, true)
	tenant := place(in, "owner", n.tenants, false)
	key, keyGiven := in.whole("pathKey", false)
	write, predicted := in.yes("update"), in.span("predicted", false)
	if in.bad == nil {
		i := n.take(id)
		n.talks(now)
		n.module.HandleRequest(now, i, policy.RequestInfo{Remaining: patience, Class: workload, Tenant: tenant, Key: key, HasKey: keyGiven, IsWrite: write, PredictedWork: predicted})
		n.slots[i].workload = workload
		n.release(i)
	}
}

func completed(in *reader, n *instance, now int64) {
	id, _ := in.whole("id", true)
	leg, _ := in.whole("leg", true)
	server, how := host(in, n), outcome(in)
	info, _ := in.whole("info", false)
	took, noMore := in.span("took", true), in.yes("noMore")
	i, known := n.ids[id]
	if in.bad != nil || !known {
		return
	}
	reported(in, n, server)
	n.slots[i].out--
	n.slots[i].ended = n.slots[i].ended || noMore
	n.saw(now, server, n.slots[i].workload, how, took)
	n.module.HandleAttemptEnded(now, i, policy.AttemptResult{Attempt: int(leg), Endpoint: server, CacheResult: int(info), Outcome: how, Latency: took, IsAnswered: noMore})
	n.release(i)
}

// reported hands over the load report that came along, if it can be read.
func reported(in *reader, n *instance, server int) {
	if tables.Report(in.find("usage"), ":", n.fields, n.load) {
		n.module.HandleLoadReport(server, n.load)
	}
}
