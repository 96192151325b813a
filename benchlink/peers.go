package benchlink

import (
	"encoding/base64"
	"strconv"

	"hollylever/outlier"
	"hollylever/policy"
)

// Speaks is whether balancers use what the settings let them tell each other. Off: on the deployments where they may, it gains nothing
// (docs/results.md), as their hosts seldom fail one trip after another, and each balancer has enough to go by.
var Speaks bool

// peers is what one balancer sees, tells and hears of hosts, where the settings let balancers talk.
type peers struct {
	board    *outlier.Detector
	expected []int64  // by workload
	ids      []uint32 // of hosts, by index
	at       map[uint32]int
	now      int64
	next     int64 // when it looks again
	others   int
	saved    float64 // bytes that may be delivered: so many for each retrieval
}

const (
	looksEvery = 20 * int64(1e6)
	bytesEach  = 8.0 // of the 256 whose price is a point for each first try
	mostSaved  = 4 * outlier.MaxMessageBytes
)

func newPeers(now int64, settings map[string]any) *peers {
	number := func(name string) float64 { x, _ := settings[name].(float64); return x }
	if may, _ := settings["allowed.peers"].(bool); !may || !Speaks {
		return nil
	}
	p := &peers{at: map[uint32]int{}}
	zone := uint16(outlier.UnknownZone)
	for z := range int(number("zones")) {
		if settings["zones."+strconv.Itoa(z)] == settings["zone"] {
			if zone = uint16(z); z >= outlier.UnknownZone {
				zone++ // That number says that there is none.
			}
		}
	}
	// A balancer that begins anew has the number of the one before: later lives have higher numbers.
	p.board = outlier.New(outlier.Member{ID: uint32(number("me")), Zone: zone}, uint64(now))
	var all []outlier.Member
	for m := range int(min(number("balancers"), outlier.MaxMembers)) {
		all = append(all, outlier.Member{ID: uint32(m), Zone: outlier.UnknownZone})
	}
	p.board.SetMembers(all)
	p.others = max(1, len(all)-1)
	for w := range int(number("workloads")) {
		p.expected = append(p.expected, int64(number("workloads."+strconv.Itoa(w)+".expectedTime")*1e6))
	}
	return p
}

// listed takes the hosts that there are.
func (p *peers) listed(addresses []string) {
	if p == nil {
		return
	}
	for s := len(p.ids); s < len(addresses); s++ {
		p.ids = append(p.ids, outlier.HashName(addresses[s]))
		p.at[p.ids[s]] = s
	}
	p.board.SetEndpoints(p.ids)
}

// saw takes how a trip ended.
func (n *instance) saw(now int64, server, workload int, how policy.Outcome, took int64) {
	if p := n.peers; p != nil {
		p.saved = min(mostSaved, p.saved+bytesEach)
		p.board.Observe(now, p.ids[server], outlier.Classify(how, took, p.expected[workload]))
		n.talks(now)
	}
}

// tries tells that a trip goes to a server.
func (n *instance) tries(server int) {
	if p := n.peers; p != nil {
		if part, heeded := p.board.RecordAttempt(p.now, p.ids[server]); heeded {
			n.module.UpdatePeerVerdict(server, part)
		}
	}
}

// hears takes a message of another balancer; what is none is passed over, as it would be between processes.
func (n *instance) hears(now int64, from uint64, data []byte) {
	if n.peers == nil {
		return
	}
	if m, err := outlier.DecodeMessage(data); err == nil && uint64(m.From) == from {
		n.peers.board.HandleMessage(now, m)
		n.peers.next = now
		n.talks(now)
	}
}

// talks tells what is due, and hands the module what is heeded.
func (n *instance) talks(now int64) {
	p := n.peers
	if p == nil {
		return
	}
	if p.now = now; now < p.next {
		return
	}
	p.next = now + looksEvery
	// Guards the price of messages, which all are paid for by their retrievals: in a large fleet few balancers speak, and seldom.
	may := p.saved >= 0
	p.board.Tick(now)
	p.board.EachEjection(now, func(id uint32, part float64) { n.module.UpdatePeerVerdict(p.at[id], part) })
	if !may {
		return
	}
	if m := p.board.NextMessage(now); m != nil {
		bytes := m.Encode()
		p.saved -= float64(len(bytes) * p.others)
		n.reply.start("memo_to", n.name)
		n.reply.text("to", "all")
		n.reply.text("blob", base64.StdEncoding.EncodeToString(bytes))
		n.reply.end()
	}
}
