package policy

import (
	"errors"
	"fmt"
	"math"
)

// What a balancer learnt, out and in. Nothing is decided here: Learnt copies what the module knows, Learn lays it into
// a module that has just begun and knows its list. Requests and attempts are not in it, and so nothing in it can prove that a
// attempt may go again.

// Bounds of what is taken.
const (
	maxEndpoints    = 1 << 16
	maxMachineTypes = 1 << 12
)

// Sum is one that decays: its value, and how long before the clock of evidence read Seen it was brought up to date.
type Sum struct {
	_     struct{} `cbor:",toarray"`
	Value float32
	Age   int64
}

// KindState is what was learnt of the servers of one kind, or of all.
type MachineTypeState struct {
	_                    struct{} `cbor:",toarray"`
	Answered, Took, Busy Sum
	Size                 float64
}

// ServerState is what was learnt of a server, known by its hash.
type EndpointState struct {
	_                           struct{} `cbor:",toarray"`
	Hash                        uint64
	Started                     int64
	Held, Sent, Good, Bad, Busy Sum
	Credit                      float32
	CutAt                       int64
	Rate, Strain                float32
}

// State is what a balancer learnt. Times are of its clock at Now; ages are of its clock of evidence at Seen.
type State struct {
	_                                     struct{} `cbor:",toarray"`
	Now, Began, Seen                      int64
	Pace                                  float64
	Held, Good, Bad, Warmed               Sum
	Reads, Misses, Fails, Fine, Poor      Sum
	Asked, Turned, Lacked, Settled, Took  Sum
	Unreached, Overdue                    Sum
	Credit, Usual, Admit, OriginRoom, Can float64
	CanAt                                 int64
	All                                   MachineTypeState
	Kinds                                 []MachineTypeState
	Tenants                               []Sum
	Servers                               []EndpointState
	Keys                                  []uint64 // read lately
	Places                                []uint32 // and where, in Servers
}

// scalars are the sums that stand alone, in the order of State's.
func (b *Balancer) sums() [15]*sum {
	return [15]*sum{&b.successes, &b.failures, &b.warmThroughput, &b.reads, &b.readMisses, &b.readFailures, &b.timely, &b.late, &b.arrivals, &b.shed,
		&b.cacheMisses, &b.answered, &b.answerTime, &b.connectFailures, &b.overdue}
}

func (s *State) sums() [15]*Sum {
	return [15]*Sum{&s.Good, &s.Bad, &s.Warmed, &s.Reads, &s.Misses, &s.Fails, &s.Fine, &s.Poor, &s.Asked, &s.Turned,
		&s.Lacked, &s.Settled, &s.Took, &s.Unreached, &s.Overdue}
}

func (b *Balancer) encodeSum(s sum) Sum {
	return Sum{Value: float32(max(0, s.Value)), Age: max(0, b.evidence-s.UpdatedAt)}
}

func (b *Balancer) decodeSum(s Sum) sum {
	return sum{Value: float64(s.Value), UpdatedAt: b.evidence - s.Age}
}

func (b *Balancer) encodeMachineType(k *machineType) MachineTypeState {
	return MachineTypeState{Answered: b.encodeSum(k.answers), Took: b.encodeSum(k.answerTime), Busy: b.encodeSum(k.rejections), Size: k.weight}
}

func (b *Balancer) decodeMachineType(k MachineTypeState) machineType {
	return machineType{answers: b.decodeSum(k.Answered), answerTime: b.decodeSum(k.Took), rejections: b.decodeSum(k.Busy), weight: k.Size}
}

// Learnt puts what the module knows into s, whose room is used again.
func (b *Balancer) SaveState(now int64, s *State) {
	b.advanceClocks(now)
	servers, keys, places, kinds, tenants := s.Servers[:0], s.Keys[:0], s.Places[:0], s.Kinds[:0], s.Tenants[:0]
	*s = State{Now: now, Began: b.startedAt, Seen: b.evidence, Pace: b.pace, Held: b.encodeSum(sum(b.inFlightAverage)), Credit: b.retryTokens, Usual: b.baseLatency,
		Admit: b.quotas.AdmittedFraction(), OriginRoom: b.originLimit, Can: b.peakThroughput, CanAt: b.peakAt, All: b.encodeMachineType(&b.fleetwide)}
	for n, own := range b.sums() {
		*s.sums()[n] = b.encodeSum(*own)
	}
	for k := range b.machineTypes {
		kinds = append(kinds, b.encodeMachineType(&b.machineTypes[k]))
	}
	for _, asked := range b.quotas.RequestCounts() {
		tenants = append(tenants, b.encodeSum(asked))
	}
	placed := make([]uint32, 0, len(b.endpoints))
	for i := range b.endpoints {
		h := &b.endpoints[i]
		placed = append(placed, uint32(len(servers)))
		if h.hash == 0 || h.health == Removed {
			placed[i] = maxEndpoints
			continue
		}
		servers = append(servers, EndpointState{Hash: h.hash, Started: h.startedAt, Held: b.encodeSum(sum(h.inFlightAverage)), Sent: b.encodeSum(h.attempts),
			Good: b.encodeSum(h.successes), Bad: b.encodeSum(h.failures), Busy: b.encodeSum(h.rejections), Credit: float32(h.retryTokens), CutAt: h.connectFailedAt,
			Rate: float32(h.reportedRate), Strain: float32(h.reportedStrain)})
	}
	for _, r := range b.recentKeys {
		if r.key != 0 && r.endpoint >= 0 && r.endpoint < len(placed) && placed[r.endpoint] != maxEndpoints {
			keys, places = append(keys, r.key), append(places, placed[r.endpoint])
		}
	}
	s.Servers, s.Keys, s.Places, s.Kinds, s.Tenants = servers, keys, places, kinds, tenants
}

var errMalformedState = errors.New("not what a module writes")

func areFinite(xs ...float64) bool {
	for _, x := range xs {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return false
		}
	}
	return true
}

func (s Sum) isValid() bool { return areFinite(float64(s.Value)) && s.Age >= 0 }

func (k MachineTypeState) isValid() bool {
	return k.Answered.isValid() && k.Took.isValid() && k.Busy.isValid() && areFinite(k.Size)
}

// Check tells whether this can be what a module wrote: nothing of it may lead the module astray or out of bounds.
func (s *State) Check() error {
	good := areFinite(s.Pace, s.Credit, s.Usual, s.Admit, s.OriginRoom, s.Can) && s.Pace > 0 && s.Pace <= 1 && s.Usual > 0 && s.Admit <= 1 &&
		s.Credit <= maxRetryTokens && s.Seen >= 0 && s.Began > 0 && s.Began <= s.Now && s.CanAt <= s.Now && s.Held.isValid() && s.All.isValid()
	for _, sum := range s.sums() {
		good = good && sum.isValid()
	}
	for _, k := range s.Kinds {
		good = good && k.isValid()
	}
	for _, t := range s.Tenants {
		good = good && t.isValid()
	}
	for n := range s.Servers {
		h := &s.Servers[n]
		good = good && h.Held.isValid() && h.Sent.isValid() && h.Good.isValid() && h.Bad.isValid() && h.Busy.isValid() && h.CutAt <= s.Now &&
			areFinite(float64(h.Credit), float64(h.Strain), float64(h.Rate)+1) && h.Credit <= maxRetryTokens
	}
	switch {
	case !good:
		return errMalformedState
	case len(s.Servers) > maxEndpoints, len(s.Kinds) > maxMachineTypes, len(s.Keys) > maxRecentKeys, len(s.Keys) != len(s.Places):
		return fmt.Errorf("%w: %d hosts, %d kinds, %d keys, %d places", errMalformedState, len(s.Servers), len(s.Kinds), len(s.Keys), len(s.Places))
	}
	for _, place := range s.Places {
		if int(place) >= len(s.Servers) {
			return errMalformedState
		}
	}
	return nil
}

// Learn lays what was learnt, so long ago, into a module that has just been told its list and has decided nothing. s has
// been checked. It tells how many servers of the list were known.
func (b *Balancer) RestoreState(now int64, s *State, ago int64) (known int) {
	shift := now - ago - s.Now // Guards against a system's clock that stepped between the two.
	at := func(then int64) int64 { return min(now, then+shift) }
	b.evidence, b.pace, b.now = s.Seen, s.Pace, now
	b.startedAt, b.inFlightAverage = at(s.Began), average(b.decodeSum(s.Held))
	b.retryTokens, b.baseLatency, b.originLimit, b.peakThroughput, b.peakAt = s.Credit, s.Usual, s.OriginRoom, s.Can, at(s.CanAt)
	for n, own := range b.sums() {
		*own = b.decodeSum(*s.sums()[n])
	}
	b.fleetwide = b.decodeMachineType(s.All)
	for k := range min(len(b.machineTypes), len(s.Kinds)) {
		b.machineTypes[k] = b.decodeMachineType(s.Kinds[k])
	}
	asked := make([]sum, len(s.Tenants))
	for t := range s.Tenants {
		asked[t] = b.decodeSum(s.Tenants[t])
	}
	b.quotas.Restore(s.Admit, asked)
	byHash := make(map[uint64]int, len(b.endpoints))
	for i := range b.endpoints {
		byHash[b.endpoints[i].hash] = i
	}
	places := make([]int, len(s.Servers))
	for n := range s.Servers {
		from := &s.Servers[n]
		i, listed := byHash[from.Hash]
		if places[n] = -1; !listed || from.Hash == 0 || from.Started < b.endpoints[i].startedAt {
			continue // Gone; or it has restarted since, and is cold: nothing that was learnt holds.
		}
		h := &b.endpoints[i]
		places[n], known = i, known+1
		h.startedAt = from.Started // The list may be the older news.
		h.inFlightAverage, h.attempts, h.successes, h.failures, h.rejections = average(b.decodeSum(from.Held)), b.decodeSum(from.Sent), b.decodeSum(from.Good), b.decodeSum(from.Bad),
			b.decodeSum(from.Busy)
		h.retryTokens, h.reportedRate, h.reportedStrain = float64(from.Credit), float64(from.Rate), float64(from.Strain)
		if h.connectFailedAt = 0; from.CutAt > 0 {
			h.connectFailedAt = at(from.CutAt)
		}
		h.slowStartTokens, h.slowStartAt = 0, now // What was saved for a cold one may be spent by the process that saved it.
	}
	for n, key := range s.Keys {
		if place := places[s.Places[n]]; place >= 0 {
			b.recentKeys[key%maxRecentKeys] = keyRecord{key: key, endpoint: place}
		}
	}
	b.evidence += int64(float64(ago) * s.Pace) // All that was learnt has faded over the gap as it would have.
	b.BeginEndpointUpdate(now, IncrementalList)
	b.CommitEndpointUpdate(now)
	return known
}

// Quota sets a tenant's, in requests a second, for all balancers together.
func (b *Balancer) SetQuota(tenant int, rps float64) { b.quotas.SetQuota(tenant, rps) }

// Portion sets which part of what all balancers may do is this one's, in place of an even one of those that the settings state.
func (b *Balancer) SetFleetShare(part float64) { b.fleetSize = 1 / min(1, max(part, 1e-6)) }

// Scarce sets whether all balancers agree that reads miss: a key keeps to one order for all then, to be fetched once.
func (b *Balancer) SetWidespreadMisses(is bool) { b.widespreadMisses = is }

// Leave sets which part of the keys does not go to a zone's servers now. Keys that come back are free of where they were read last: else
// they would stay there for as long as many reads miss. For the time of fills after the last step its servers are not passed over as slow: their
// answers are fetches, and a cache that is passed over for that never fills.
func (b *Balancer) SetEvacuation(zone int, part float64, fills int64) {
	was := 0.0
	for s := range b.endpoints {
		if h := &b.endpoints[s]; h.zone == zone && h.hash != 0 {
			if was = max(was, h.evacuated); part > 0 || h.evacuated > 0 {
				h.cacheFillsUntil = b.now + fills
			}
			h.evacuated = part
		}
	}
	if part >= was {
		return
	}
	for n := range b.recentKeys {
		if p := keyPosition(b.recentKeys[n].key); p >= part && p < was {
			b.recentKeys[n] = keyRecord{}
		}
	}
}

// filled is how long an attempt takes at a server, but no longer than elsewhere while its cache fills.
func (b *Balancer) latencyWhileFilling(h *endpoint, each float64) float64 {
	if b.now < h.cacheFillsUntil {
		return min(each, b.fleetwide.meanLatency(b.evidence, 0))
	}
	return each
}

// partOf is where a key stands among all, 0 to 1: the same for all balancers.
func keyPosition(key uint64) float64 { return float64(key*0x9e3779b97f4a7c15>>11) / (1 << 53) }

// away is what sets a server last in a key's ranking, while the key does not go to its zone. One that this balancer has the turn to try is ranked as ever.
func (b *Balancer) evacuationPenalty(key uint64, s int) float64 {
	if h := &b.endpoints[s]; h.evacuated > 0 && h.peerVerdict >= 0 && keyPosition(key) < h.evacuated {
		return math.Inf(1)
	}
	return 0
}

// Share sets which part of the balancer's attempts this process sends: its part of what cold servers may be sent.
func (b *Balancer) SetProcessShare(part float64) { b.processShare = part }
