// Package signals is what balancers tell each other of hosts that fail, and what a balancer makes of what it hears: evidence that has an age,
// weighs less than what it saw itself, and counts only as far as several agree. It is pure: the clock comes with each call, messages are
// handed in and out, and nothing here waits. Its callers, one at a time, are fleet (between processes) and benchlink (in the simulator).
//
// What it promises: nothing that was heard is told on as seen; merging does not depend on the order of messages, on repeats, or on lost ones
// for longer than a repeat takes; a message is 256 bytes at most, and all that is kept has a bound; and where nobody speaks, no host is
// held back for longer than Lasts.
package outlier

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hollylever/policy"
)

const (
	ms              = int64(1e6)
	MaxMessageBytes = 256              // of a message
	mostWords       = 18               // in one
	mostHosts       = 1 << 13          // known here
	MaxMembers      = 4096             // that may speak
	sureHeard       = 64               // words of each host are kept in any case,
	maxHeard        = 1024 * sureHeard // and as many as there are members as long as all have no more than that
	mostRun         = 200              // failures in a row that are told
	freshFor        = 3000 * ms        // how old a failure may be to begin with
	Lasts           = 15000 * ms       // and to go on: longer than who has the turn takes to try again
	repeatAfter     = 500 * ms
	betweenWords    = 50 * ms   // two messages
	goodTold        = 4         // so often that a host settles again is told
	leastRamp       = 200 * ms  // over which all leave
	backOver        = 1000 * ms // and come back
	mostBack        = 16000 * ms
	calm            = 20000 * ms // without a relapse: the next return is as the first
	mostPart        = 1.0        // that others' word takes from a host's chance: with less, a busy fleet would try it all the while
	mostHeeded      = 0.4        // of the hosts: more, and what fails is behind all of them
	leastWait       = 1000 * ms  // before a host that all have left is tried again
	mostWait        = 8000 * ms
	leastStep       = 500 * ms  // after which one with the turn that does not use it is passed over
	mostCounts      = 4         // of one witness's failures in a row
	mostRare        = 0.001     // no balancer knows better than that how rare failures are
	unlikely        = 1000.0    // so many times as many hosts would have to be watched until chance alone takes one from all
	worthTelling    = 0.01      // where failures are rarer than that, one alone is told
	missLeast       = 0.25      // of the reads: so many misses are told
	missMany        = 0.4       // and of so many at a third of the members, reads are said to miss for all
	missOver        = 500 * ms  // the time that is looked at
	missReads       = 10.0      // and the reads that are needed for the whole part
	missFor         = 2000 * ms // at least
	tripsKept       = 2000.0    // over which the rate of failures is known
)

// Sign is what the end of a trip tells of its host.
type Sign int

// The signs. Refused: no connection came about, which tells as much as two failures.
const (
	Inconclusive Sign = iota
	Settles
	Fails
	Refuses
)

// Of reads the end of a trip: one that was called off tells of its host only if it had taken long.
func Classify(how policy.Outcome, took, expected int64) Sign {
	switch how {
	case policy.OK, policy.Missing:
		return Settles
	case policy.Errored, policy.TimedOut, policy.Reset:
		return Fails
	case policy.Unreached:
		return Refuses
	case policy.Cancelled:
		if took >= expected/2 {
			return Fails
		}
	}
	return Inconclusive
}

// Word is what one balancer saw of one host.
type Word struct {
	_    struct{} `cbor:",toarray"`
	Host uint32   // of its name
	Run  uint8    // trips that failed one after another, with none settled since; 0: it settles again
	Age  uint16   // ms since the last of these ended
}

// Message is what one balancer tells. Words are of what it saw itself; what is not in it has not changed.
type Message struct {
	_     struct{} `cbor:",toarray"`
	From  uint32
	Life  uint64 // which of its lives, and which message of it
	Seq   uint32
	Zone  uint16
	Words []Word
	Miss  uint8 // of a hundred reads, so many missed lately; told where that is many
}

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 32, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// Pack is a message's form between processes.
func (m *Message) Encode() []byte {
	bytes, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Its type is our own.
	}
	return bytes
}

// Unpack takes no message that is not whole and within bounds.
func DecodeMessage(bytes []byte) (*Message, error) {
	m := &Message{}
	if len(bytes) > MaxMessageBytes {
		return nil, errLarge
	}
	if err := strict.Unmarshal(bytes, m); err != nil {
		return nil, err
	}
	if len(m.Words) > mostWords {
		return nil, errLarge
	}
	return m, nil
}

// ID is the number that a name has in signals. Two names may have one, once in some billions of pairs: they share what is said of them then.
func HashName(name string) uint32 {
	of := fnv.New32a()
	of.Write([]byte(name))
	return of.Sum32()
}

// Member is one that may speak. Zone is NoZone where it is not known.
type Member struct {
	ID   uint32
	Zone uint16
}

// NoZone is a zone that nobody knows. No zone has this number; versions before know no larger one.
const UnknownZone = 255

// heard is the last word of one member on one host.
type heard struct {
	from   uint32
	zone   uint16
	run    uint8
	first  int64 // when the first of these was heard of
	failed int64 // when the last of these ended, or it settled, on this clock
	at     int64 // when it was heard
}

type host struct {
	run          int
	failed, good int64   // when a trip failed last, and when one settled
	tells        int     // so often more that it settles is told
	toldRun      int     // failures in a row, as far as they count, that a message told last
	toldAt       int64   // when one told of it
	tried        int64   // when a trip went there last while it was heeded
	words        []heard // by member
	since        int64   // heeded from then on; 0: not
	leaves       int64   // and this one with it from then on
	back         int64   // not any more from then on, for this one; 0: it is not coming back
	ended        int64   // when it was over last
	relapses     int
}

type member struct {
	life   uint64
	seq    uint32
	zone   uint16
	miss   float64
	missAt int64
}

// Board is what one balancer saw and heard.
type Detector struct {
	me                    Member
	life                  uint64
	seq                   uint32
	all                   []Member // with this one
	zones                 int      // that they are in
	hosts                 map[uint32]*host
	active                map[uint32]*host // of these, those that somebody says something of
	listed                int
	index                 map[uint32]int // members, in all
	kept                  int            // words, of all hosts
	set                   zoneSet
	spoke                 map[uint32]member
	told                  int64   // when a message went out
	urgent                bool    // something changed since
	delay                 int64   // of what was heard, lately
	failed                float64 // of the last trips, but at hosts that are heeded
	trips                 float64
	miss                  float64 // of this balancer's reads, lately
	reads, misses         float64
	readsThen, missesThen int
	countedAt             int64
	scarce                bool // and of all
	since                 int64
	heeding               int

	MessagesSent, MessagesAccepted, MessagesStale, MessagesFromUnknown int // messages: told, taken, older than one taken before, from nobody known
}

// New begins a board with nothing known. life tells it from an earlier one of the same id: it is larger.
func New(me Member, life uint64) *Detector {
	b := &Detector{me: me, life: life, hosts: map[uint32]*host{}, active: map[uint32]*host{}, spoke: map[uint32]member{}}
	b.SetMembers(nil)
	return b
}

// Members says who may speak: those heard lately, or all that are known to be. This one need not be among them.
func (b *Detector) SetMembers(all []Member) {
	b.all = append(b.all[:0], b.me)
	for _, m := range all {
		if m.ID != b.me.ID && len(b.all) < MaxMembers {
			b.all = append(b.all, m)
		}
	}
	b.index = make(map[uint32]int, len(b.all))
	for n, m := range b.all {
		b.index[m.ID] = n
	}
	b.inZones()
	b.hush()
}

// inZones counts the zones that members are known to be in.
func (b *Detector) inZones() {
	b.set.clear()
	b.zones = 0
	for _, m := range b.all {
		if m.Zone != UnknownZone && b.set.add(m.Zone) {
			b.zones++
		}
	}
}

// hush forgets the words of those who are no members any more, where members are known one by one.
func (b *Detector) hush() {
	gone := func(id uint32) bool { _, is := b.index[id]; return !is }
	for id := range b.spoke {
		if gone(id) {
			delete(b.spoke, id)
		}
	}
	for _, h := range b.active {
		h.words = slices.DeleteFunc(h.words, func(w heard) bool { return gone(w.from) })
	}
}

// Hosts says which hosts there are: of others nothing is kept.
func (b *Detector) SetEndpoints(ids []uint32) {
	b.listed = min(len(ids), mostHosts)
	is := map[uint32]bool{}
	for _, id := range ids[:b.listed] {
		is[id] = true
		if b.hosts[id] == nil {
			b.hosts[id] = &host{}
		}
	}
	for id := range b.hosts {
		if !is[id] {
			delete(b.hosts, id)
			delete(b.active, id)
		}
	}
}

// Saw takes what a trip of this balancer told of its host.
func (b *Detector) Observe(now int64, id uint32, what Sign) {
	h := b.hosts[id]
	if h == nil {
		return
	}
	if what != Inconclusive && h.since == 0 {
		b.failed, b.trips = b.failed*(1-1/tripsKept), b.trips*(1-1/tripsKept)+1
		if what != Settles {
			b.failed++
		}
	}
	switch what {
	case Settles:
		h.good = now
		if h.run >= b.worth() || h.since != 0 { // Others may heed what it was: they hear that it is over.
			h.tells, b.urgent = goodTold, true
		}
		h.run, h.toldRun = 0, 0
	case Fails, Refuses:
		was := h.run
		h.run = min(mostRun, h.run+int(what-Settles))
		h.failed, h.tells = now, 0
		b.active[id] = h
		b.urgent = b.urgent || was < mostCounts && h.run >= b.worth() || h.since != 0
	}
}

// rare is how often a trip fails at hosts that nobody calls failing: what chance explains.
func (b *Detector) rare() float64 { return max(mostRare, (b.failed+0.5)/(b.trips+100)) }

// worth is how many failures in a row are worth telling.
func (b *Detector) worth() int {
	if b.rare() <= worthTelling {
		return 1
	}
	return 2
}

// Hear takes a message. Repeats, and what is older than one taken before, change nothing.
func (b *Detector) HandleMessage(now int64, m *Message) {
	from, was := b.index[m.From], b.spoke[m.From]
	switch {
	case from == 0: // Nobody known, or this one.
		b.MessagesFromUnknown++
		return
	case m.Life < was.life || m.Life == was.life && m.Seq <= was.seq:
		b.MessagesStale++
		return
	}
	b.MessagesAccepted++
	if b.all[from].Zone == UnknownZone && m.Zone != UnknownZone {
		b.all[from].Zone = m.Zone
		b.inZones()
	}
	zone := b.all[from].Zone // As this one knows it, where it does: between processes each has numbers of its own for zones.
	b.spoke[m.From] = member{m.Life, m.Seq, zone, float64(min(m.Miss, 100)) / 100, now}
	for _, w := range m.Words {
		h := b.hosts[w.Host]
		if h == nil {
			continue
		}
		b.active[w.Host] = h
		b.hold(h, heard{m.From, zone, w.Run, now - int64(w.Age)*ms, now - int64(w.Age)*ms, now})
	}
}

// hold keeps a word on a host, in place of the member's last one. Where there are too many the one that was heard longest ago gives way.
func (b *Detector) hold(h *host, word heard) {
	byMember := func(w heard, from uint32) int { return cmp.Compare(w.from, from) }
	at, known := slices.BinarySearchFunc(h.words, word.from, byMember)
	if known {
		if old := h.words[at]; old.run > 0 && word.run >= old.run {
			word.first = min(word.first, old.first)
		}
		h.words[at] = word
		return
	}
	if len(h.words) >= sureHeard && b.kept >= maxHeard {
		oldest := 0
		for n := range h.words {
			if h.words[n].at < h.words[oldest].at {
				oldest = n
			}
		}
		h.words = slices.Delete(h.words, oldest, oldest+1)
		at, _ = slices.BinarySearchFunc(h.words, word.from, byMember)
		b.kept--
	}
	h.words = slices.Insert(h.words, at, word)
	b.kept++
}

// Delay says how long signals take here, as far as that is known: leaving and coming back are spread over four times that.
func (b *Detector) SetMessageDelay(of int64) { b.delay = min(max(0, of), 4000*ms) }

// failing is how many hosts fail here, one trip after another.
func (b *Detector) failing(now int64) (n int) {
	for _, h := range b.active {
		if h.run > 0 && now-h.failed < Lasts {
			n++
		}
	}
	return n
}

// Tell gives the message that is due, if one is: at once when something changed, again while it is so, and none while all is well.
func (b *Detector) NextMessage(now int64) *Message {
	if now-b.told < betweenWords || !b.urgent && now-b.told < repeatAfter {
		return nil
	}
	m := &Message{From: b.me.ID, Life: b.life, Zone: b.me.Zone}
	if b.miss >= missLeast {
		m.Miss = uint8(min(100, b.miss*100))
	}
	knows := float64(b.failing(now)) <= mostHeeded*float64(b.listed) // More, and what fails is behind all hosts, or this balancer's own.
	for id, h := range b.active {
		if !knows {
			break
		}
		// Where it is heeded already, only what is newer than that needs to be known.
		if now-h.failed < Lasts && (h.run >= b.worth() && (h.since == 0 || h.back != 0 || now-h.since < freshFor) || h.run > 0 && h.since != 0 && h.failed > h.since) {
			m.Words = append(m.Words, Word{Host: id, Run: uint8(h.run), Age: age(now - h.failed)})
		} else if h.tells > 0 {
			m.Words = append(m.Words, Word{Host: id, Age: age(now - h.good)})
		}
	}
	b.urgent = false
	if len(m.Words) == 0 && m.Miss == 0 {
		return nil
	}
	b.first(now, m)
	b.seq++
	m.Seq, b.told = b.seq, now
	b.MessagesSent++
	return m
}

// first keeps as many words as a message holds: those that were told longest ago or never, the freshest of these first. Where one is left out that says
// more than was told of its host, the next message is due at once.
func (b *Detector) first(now int64, m *Message) {
	slices.SortFunc(m.Words, func(x, y Word) int { // Ties by host, so that a run can be repeated.
		return cmp.Or(cmp.Compare(b.hosts[x.Host].toldAt, b.hosts[y.Host].toldAt), cmp.Compare(x.Age, y.Age), cmp.Compare(x.Host, y.Host))
	})
	for n, w := range m.Words {
		h, run := b.hosts[w.Host], min(int(w.Run), mostCounts)
		if n >= mostWords {
			b.urgent = b.urgent || run > h.toldRun || run == 0 && h.tells == goodTold
			continue
		}
		if h.toldRun, h.toldAt = run, now; run == 0 {
			h.tells--
		}
	}
	m.Words = m.Words[:min(len(m.Words), mostWords)]
}

func age(of int64) uint16 { return uint16(min(max(0, of/ms), 65535)) }
