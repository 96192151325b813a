package simadapter

import (
	"encoding/base64"
	"strconv"

	"hollylever/outlier"
	"hollylever/policy"
)

// ExchangesReports enables the exchange of reports between balancers where the settings allow messages. It is off by
// default because it brings no gain on the deployments that allow messages (docs/results.md): their endpoints seldom
// fail several attempts in a row, and each balancer has enough observations of its own.
var ExchangesReports bool

const (
	// tickInterval is the minimum time between ticks of the detector unless a message arrives. It is a fraction of the
	// delivery time of reports.
	tickInterval = 20 * int64(1e6)

	// bytesPerAttempt is what each attempt earns for messages, of the 256 bytes whose price is a point for each first
	// attempt.
	bytesPerAttempt = 8.0

	// maxByteBudget limits the unused budget to a few messages.
	maxByteBudget = 4 * outlier.MaxMessageBytes
)

// peers holds the state for exchanging reports about endpoints with other balancers. It is nil if the exchange is
// disabled or the settings do not allow it; its users then do nothing.
type peers struct {
	detector       *outlier.Detector
	objectives     []int64  // by class
	ids            []uint32 // of endpoints, by index
	indices        map[uint32]int
	now            int64
	nextTick       int64
	otherBalancers int     // the number of other balancers, at least 1
	byteBudget     float64 // bytes that may still be delivered, summed over the receivers
}

func newPeers(now int64, settings map[string]any) *peers {
	number := func(name string) float64 { x, _ := settings[name].(float64); return x }
	if mayExchange, _ := settings["allowed.peers"].(bool); !mayExchange || !ExchangesReports {
		return nil
	}
	p := &peers{indices: map[uint32]int{}}
	// A restarted balancer keeps its ID, and its start time serves as the incarnation, which must increase.
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

// ownZone returns the number of this balancer's zone, or outlier.UnknownZone.
func ownZone(settings map[string]any, zones int) uint16 {
	own := uint16(outlier.UnknownZone)
	for zone := range zones {
		if settings["zones."+strconv.Itoa(zone)] != settings["zone"] {
			continue
		}
		own = uint16(zone)
		if zone >= outlier.UnknownZone {
			own++ // skips the number outlier.UnknownZone
		}
	}
	return own
}

// setEndpoints passes all known endpoints to the detector. Endpoints keep their indices, so new ones are at the end.
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

// observeAttempt passes the outcome of an attempt to the detector and adds to the message budget.
func (n *instance) observeAttempt(now int64, endpoint, class int, outcome policy.Outcome, latency int64) {
	p := n.peers
	if p == nil {
		return
	}
	p.byteBudget = min(maxByteBudget, p.byteBudget+bytesPerAttempt)
	p.detector.Observe(now, p.ids[endpoint], outlier.Classify(outcome, latency, p.objectives[class]))
	n.runDetector(now)
}

// reportAttempt informs the detector that an attempt is sent to an endpoint, which consumes a probe lease.
func (n *instance) reportAttempt(endpoint int) {
	p := n.peers
	if p == nil {
		return
	}
	if penalty, isEjected := p.detector.RecordAttempt(p.now, p.ids[endpoint]); isEjected {
		n.module.UpdatePeerVerdict(endpoint, penalty)
	}
}

// receiveMessage handles a message of another balancer. An invalid message is ignored, as between real processes.
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

// runDetector ticks the detector, passes the ejections to the module, and sends the message that is due if the message
// budget, to which attempts add, is not overdrawn. The budget limits the cost of messages: in a large fleet, few
// balancers send messages, and rarely.
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
