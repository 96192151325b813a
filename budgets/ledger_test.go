package budgets

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	millisecond = int64(time.Millisecond)

	// A lease lasts for so long on its holder's clock; after the second it is over on any clock.
	leaseDuration = 1800 * millisecond
	leaseTimeout  = 1837 * millisecond
)

// process is one of a simulated fleet.
type process struct {
	incarnation uint64
	seq         uint64
	sentAt      map[uint64]int64 // requests, by Seq
	held        HeldShare
	leasedUntil int64
	requestRate float64
	isDown      bool
}

func newProcess(incarnation uint64, requestRate float64) *process {
	return &process{incarnation: incarnation, sentAt: map[uint64]int64{}, requestRate: requestRate}
}

// share is what the process acts on; leases count for so long after their end.
func (p *process) share(now, leaseOverrun int64, maxProcesses int) float64 {
	if now < p.leasedUntil+leaseOverrun && p.held.Share > 0 {
		return p.held.Share
	}
	return ShareWithoutLease(maxProcesses)
}

// delivery is a request on its way to the leader, or a grant on its way back.
type delivery struct {
	arrivesAt   int64
	process     int
	incarnation uint64
	isRequest   bool
	request     ShareRequest
	share       float64 // of a grant
	seq         uint64  // of the request it answers
}

// fleet is a leader's ledger and the processes, under one clock, with a network that loses, delays and repeats.
type fleet struct {
	random    *rand.Rand
	now       int64
	ledger    *Ledger
	processes []*process
	inTransit []delivery
	lossRate  float64
}

// A process that held its share a little longer than its lease, or a leader that granted again what an earlier one had
// granted, put the fleet over the whole: cold endpoints were overloaded. The sum of what all act on is never over the
// whole, and in the mean not far below. That the check sees a fault is tested with leases that overrun.
func TestSumOfSharesNeverExceedsWhole(t *testing.T) {
	steps := 30000
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		steps = n
	}
	for seed := range uint64(6) {
		largest, mean := runFleet(seed, steps, 0)
		if largest > 1+1e-9 {
			t.Errorf("seed %d: %v of the whole", seed, largest)
		}
		if mean < 0.7 {
			t.Errorf("seed %d: in the mean only %v of the whole is used", seed, mean)
		}
	}
	isSeen := false
	for seed := range uint64(6) {
		largest, _ := runFleet(seed, steps, leaseDuration)
		isSeen = isSeen || largest > 1+1e-9
	}
	if !isSeen {
		t.Error("shares that outlive their leases are not seen")
	}
}

// runFleet returns the largest sum of what all act on, and its mean while all are up.
func runFleet(seed uint64, steps int, leaseOverrun int64) (largest, mean float64) {
	const maxProcesses = 9
	f := &fleet{random: rand.New(rand.NewPCG(seed, 4)), now: 1e12, lossRate: 0.1}
	f.ledger = New(f.now-leaseTimeout, maxProcesses, leaseTimeout)
	for range maxProcesses {
		f.processes = append(f.processes, newProcess(1, float64(1+f.random.IntN(300))))
	}
	last, counted := f.now, 0.0
	for range steps {
		f.now += f.random.Int64N(60 * millisecond)
		f.injectFault(maxProcesses)
		f.deliver()
		f.sendRequests()
		sum, up := 0.0, 0
		for _, p := range f.processes {
			if !p.isDown {
				up++
				sum += p.share(f.now, leaseOverrun, maxProcesses)
			}
		}
		largest = max(largest, sum)
		if up == maxProcesses {
			mean += sum * float64(f.now-last)
			counted += float64(f.now - last)
		}
		last = f.now
	}
	return largest, mean / max(1, counted)
}

func (f *fleet) injectFault(maxProcesses int) {
	switch n := f.random.IntN(len(f.processes)); f.random.IntN(400) {
	case 0: // A crash, or a new incarnation after one.
		if f.processes[n].isDown = !f.processes[n].isDown; !f.processes[n].isDown {
			f.processes[n] = newProcess(f.processes[n].incarnation+1, f.processes[n].requestRate)
		}
	case 1: // Another leader.
		f.ledger = New(f.now, maxProcesses, leaseTimeout)
	case 2:
		f.lossRate = f.random.Float64() * 0.7
	case 3, 4:
		f.processes[n].requestRate = float64(1 + f.random.IntN(300))
	case 5:
		f.processes[n].requestRate = []float64{math.NaN(), math.Inf(1), -5, 1e300}[f.random.IntN(4)]
	}
}

func (f *fleet) sendRequests() {
	for n, p := range f.processes {
		if p.isDown || f.random.IntN(8) != 0 {
			continue
		}
		p.seq++
		p.sentAt[p.seq] = f.now
		request := ShareRequest{Seq: p.seq, GrantSeq: p.held.GrantSeq, RequestRate: p.requestRate}
		f.inTransit = f.send(f.inTransit, delivery{process: n, incarnation: p.incarnation, isRequest: true, request: request})
	}
}

// send puts a message on its way, by chance several times or not at all.
func (f *fleet) send(to []delivery, d delivery) []delivery {
	for again := true; again; again = f.random.IntN(8) == 0 {
		if f.random.Float64() >= f.lossRate {
			d.arrivesAt = f.now + 1 + f.random.Int64N(900*millisecond)
			to = append(to, d)
		}
	}
	return to
}

func (f *fleet) deliver() {
	// The slice is reused while it is read: a grant that is repeated may overwrite a message behind it, which is lost.
	// The seeds' bounds were set with that.
	later := f.inTransit[:0]
	for _, d := range f.inTransit {
		p := f.processes[d.process]
		switch {
		case d.arrivesAt > f.now:
			later = append(later, d)
		case d.isRequest:
			share := f.ledger.Grant(f.now, Holder{string(rune('a' + d.process)), d.incarnation}, d.request)
			later = f.send(later, delivery{process: d.process, incarnation: d.incarnation, share: share, seq: d.request.Seq})
		case !p.isDown && p.incarnation == d.incarnation:
			p.held.Accept(d.seq, d.share)
			if until := p.sentAt[d.seq] + leaseDuration; until > p.leasedUntil && f.now < until {
				p.leasedUntil = until
			}
		}
	}
	f.inTransit = later
}

// An even division left busy processes without capacity that idle ones did not use. Shares follow the traffic; a new
// leader raises none until earlier leases are over; and one that reports nonsense gets the least.
func TestSharesFollowTraffic(t *testing.T) {
	const maxProcesses = 4
	ledger := New(0, maxProcesses, leaseTimeout)
	rates := []float64{100, 300, math.NaN(), 100}
	var shares [4]float64
	var heldFrom [4]uint64
	for round := range uint64(8) {
		now := int64(round) * 600 * millisecond
		for n, rate := range rates {
			holder := Holder{string(rune('a' + n)), 1}
			shares[n] = ledger.Grant(now, holder, ShareRequest{Seq: round + 1, GrantSeq: heldFrom[n], RequestRate: rate})
			heldFrom[n] = round + 1
			if now < leaseTimeout && shares[n] != ShareWithoutLease(maxProcesses) {
				t.Fatalf("%v granted at %d ms, while earlier leases may last", shares[n], now/millisecond)
			}
		}
	}
	want := [4]float64{0.125 + 0.5*100/501, 0.125 + 0.5*300/501, 0.125 + 0.5/501, 0.125 + 0.5*100/501}
	for n := range shares {
		if math.Abs(shares[n]-want[n]) > 1e-3 {
			t.Errorf("process %d has %v, want %v", n, shares[n], want[n])
		}
	}
	if sum := promised(ledger, 7*600*millisecond); sum > 1 || sum < 0.99 {
		t.Errorf("%v promised in all", sum)
	}
	if ledger.Overcommits != 0 {
		t.Errorf("%d overcommits among as many as stated", ledger.Overcommits)
	}
	ledger.Grant(7*600*millisecond, Holder{"e", 1}, ShareRequest{Seq: 1})
	if ledger.Overcommits != 1 {
		t.Errorf("%d overcommits with one more than stated", ledger.Overcommits)
	}
}

// promised is the most that all holders of a ledger's leases can be acting on.
func promised(l *Ledger, now int64) (sum float64) {
	for _, account := range l.accounts {
		sum += account.outstanding(now)
	}
	return sum
}

// A ledger that knows as many processes as it may keep gives any other the share of one alone, and keeps nothing of it.
func TestFullLedgerRecordsNobodyElse(t *testing.T) {
	ledger, now := New(0, 4, leaseTimeout), int64(1e12)
	for n := range 8192 {
		ledger.accounts[Holder{fmt.Sprint("p", n), 1}] = &account{requestRate: 1, promises: []promise{{1, 1e-6, now + 1}}}
	}
	share := ledger.Grant(now, Holder{"one more", 1}, ShareRequest{Seq: 1, RequestRate: 100})
	if share != ShareWithoutLease(4) || len(ledger.accounts) != 8192 {
		t.Errorf("share %v, %d processes known", share, len(ledger.accounts))
	}
}

// A process that stated an endless rate, or none that is a number, took the whole of what is divided by traffic.
func TestUnbelievableRatesCountAsTheLeast(t *testing.T) {
	for _, c := range []struct{ stated, want float64 }{
		{0, 1},
		{0.3, 1},
		{250, 250},
		{1e9, 1e9},
		{1.01e9, 1},
		{math.Inf(1), 1},
		{math.NaN(), 1},
		{-5, 1},
	} {
		if got := believedRate(c.stated); got != c.want {
			t.Errorf("%v counts as %v, want %v", c.stated, got, c.want)
		}
	}
}
