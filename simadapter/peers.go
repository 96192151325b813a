package simadapter

import (
	"encoding/base64"
	"strconv"

	"hollylever/outlier"
	"hollylever/policy"
)

// ExchangesReports is whether balancers use what the settings let them tell each other. Off: on the deployments where
// they may, it gains nothing (docs/results.md), as their endpoints seldom fail one attempt after another, and each
// balancer has enough to go by.
var ExchangesReports bool

const (
	// tickInterval is how often the detector is looked at: a fraction of the time that reports take.
	tickInterval = 20 * int64(1e6)

	// bytesPerAttempt is what each attempt earns for messages, of the 256 bytes whose price is a point for each first
	// attempt.
	bytesPerAttempt = 8.0

	// maxByteBudget bounds what is saved up to a few messages.
	maxByteBudget = 4 * outlier.MaxMessageBytes
)

// peers is what one balancer observes, tells and hears of endpoints, where the settings let balancers talk. A nil one
// does nothing.
type peers struct {
	detector       *outlier.Detector
	objectives     []int64  // by class
	ids            []uint32 // of endpoints, by index
	indices        map[uint32]int
	now            int64
	nextTick       int64
	otherBalancers int     // balancers
	byteBudget     float64 // that may be delivered: so many for each attempt
}

func newPeers(now int64, settings map[string]any) *peers {
	number := func(name string) float64 { x, _ := settings[name].(float64); return x }
	if mayExchange, _ := settings["allowed.peers"].(bool); !mayExchange || !ExchangesReports {
		return nil
	}
	p := &peers{indices: map[uint32]int{}}
	// A balancer that begins anew has the number of the one before: later incarnations have higher numbers.
	self := outlier.Member{ID: uint32(number("me")), Zone: ownZone(settings, int(number("zones")))}
	p.detector = outlier.New(self, uint64(now))
	var members []outlier.Member
	for id := range int(min(number("balancers"), outlier.MaxMembers)) {
		members = append(members, outlier.Member{ID: uint32(id), Zone: outlier.UnknownZone})
	}
	p.detector.SetMembers(members)
	p.otherBalancers = max(1, len(members)-1)
	for class := range int(number("workloads")) {
		p.objectives = append(p.objectives, int64(number("workloads."+strconv.Itoa(class)+".expectedTime")*1e6))
	}
	return p
}

// ownZone is the number of this balancer's zone.
func ownZone(settings map[string]any, zones int) uint16 {
	own := uint16(outlier.UnknownZone)
	for zone := range zones {
		if settings["zones."+strconv.Itoa(zone)] != settings["zone"] {
			continue
		}
		own = uint16(zone)
		if zone >= outlier.UnknownZone {
			own++ // That number says that there is none.
		}
	}
	return own
}

// setEndpoints takes the endpoints that are known; those that were keep their indices.
func (p *peers) setEndpoints(addresses []string) {
	if p == nil {
		return
	}
	for index := len(p.ids); index < len(addresses); index++ {
		p.ids = append(p.ids, outlier.HashName(addresses[index]))
		p.indices[p.ids[index]] = index
	}
	p.detector.SetEndpoints(p.ids)
}

// observeAttempt takes how an attempt ended.
func (n *instance) observeAttempt(now int64, endpoint, class int, outcome policy.Outcome, latency int64) {
	p := n.peers
	if p == nil {
		return
	}
	p.byteBudget = min(maxByteBudget, p.byteBudget+bytesPerAttempt)
	p.detector.Observe(now, p.ids[endpoint], outlier.Classify(outcome, latency, p.objectives[class]))
	n.runDetector(now)
}

// reportAttempt tells the detector that an attempt goes to an endpoint: a probe lease is used by that.
func (n *instance) reportAttempt(endpoint int) {
	p := n.peers
	if p == nil {
		return
	}
	if penalty, isEjected := p.detector.RecordAttempt(p.now, p.ids[endpoint]); isEjected {
		n.module.UpdatePeerVerdict(endpoint, penalty)
	}
}

// receiveMessage takes a message of another balancer; one that is none is passed over, as it would be between processes.
func (n *instance) receiveMessage(now int64, from uint64, data []byte) {
	if n.peers == nil {
		return
	}
	message, err := outlier.DecodeMessage(data)
	if err != nil || uint64(message.From) != from {
		return
	}
	n.peers.detector.HandleMessage(now, message)
	n.peers.nextTick = now
	n.runDetector(now)
}

// runDetector hands the module what is ejected, and sends the message that is due. It guards the price of messages, which
// attempts pay for: in a large fleet few balancers speak, and seldom.
func (n *instance) runDetector(now int64) {
	p := n.peers
	if p == nil {
		return
	}
	p.now = now
	if now < p.nextTick {
		return
	}
	p.nextTick = now + tickInterval
	maySend := p.byteBudget >= 0
	p.detector.Tick(now)
	p.detector.EachEjection(now, func(id uint32, penalty float64) {
		n.module.UpdatePeerVerdict(p.indices[id], penalty)
	})
	if !maySend {
		return
	}
	message := p.detector.NextMessage(now)
	if message == nil {
		return
	}
	encoded := message.Encode()
	p.byteBudget -= float64(len(encoded) * p.otherBalancers)
	n.reply.begin("memo_to", n.name)
	n.reply.text("to", "all")
	n.reply.text("blob", base64.StdEncoding.EncodeToString(encoded))
	n.reply.end()
}
