// Package shares decides which requests a balancer rejects because their tenant asks more than its share, while the
// fleet answers poorly. The decision module asks it once for each request and tells it how attempts end. It is pure:
// the clock, the draw and what load reports tell are handed in.
package quota

import (
	"cmp"
	"math"
	"slices"

	"hollylever/decay"
)

const (
	// refresh is how long an estimate is used, in nanoseconds: it sorts the tenants, which may be many.
	refresh = int64(50e6)
	// maxPoor is the part of attempts that may end poorly before requests beyond a share are rejected.
	maxPoor = 0.06
	// leastAdmitted, step down and step up bound and move the part of such requests that is admitted.
	leastAdmitted = 0.02
	stepDown      = 0.95
	stepUp        = 0.01
)

type tenant struct {
	quota float64 // requests a second of the whole fleet; 0: none stated
	asked decay.Sum
}

// portion is what a tenant asked here lately, and its quota for as long.
type portion struct{ asked, quota float64 }

func (p portion) ratio() float64 { return p.asked / p.quota }

// Gate holds what one balancer knows of its tenants.
type Limiter struct {
	tenants  []tenant
	admitted float64 // of the requests beyond a share, this part is let in
	portions []portion
	part     float64 // the last estimate
	until    int64
}

// New returns a gate for tenants with these quotas, in requests a second of the whole fleet; 0: none.
func New(quotas []float64) *Limiter {
	g := &Limiter{admitted: 1}
	for _, quota := range quotas {
		g.tenants = append(g.tenants, tenant{quota: quota})
	}
	return g
}

// SetQuota changes a tenant's quota.
func (g *Limiter) SetQuota(tenant int, requestsPerSecond float64) {
	g.tenants[tenant].quota = requestsPerSecond
}

// View is what the balancer knows when a request comes.
type Traffic struct {
	Now           int64   // the clock by which counts fade
	WindowSeconds float64 // seconds that the counts stand for
	TrafficShare  float64 // this balancer's part of the fleet's traffic by load reports; 0: none tell
	EvenShare     float64 // the part of a balancer that gets as much as the others
}

// Rejects counts a request of a tenant, -1 for none, and draws whether it is rejected as beyond the tenant's share.
// Counts vary by their root, which is added to the share.
func (g *Limiter) ShouldReject(tenant int, view Traffic, draw func() float64) bool {
	if tenant < 0 || g.tenants[tenant].quota <= 0 {
		return false
	}
	t := &g.tenants[tenant]
	t.asked.Add(view.Now, 1)
	part := view.TrafficShare
	if part <= 0 {
		part = g.estimate(view)
	}
	asked, share := t.asked.Value, t.quota*view.WindowSeconds*max(part, view.EvenShare)
	return draw()*asked > share+math.Sqrt(share) && draw() > g.admitted
}

// estimate returns which part of the fleet's traffic comes here: the median of what tenants ask for their quotas,
// weighted by quota (the lower one). Tenants that use more than their quota, or hardly any of it, do not move it as
// long as they hold less than half of all quotas. The least ratio would be near nothing wherever one small tenant is
// quiet by chance, and all others would seem to be beyond their shares.
func (g *Limiter) estimate(view Traffic) float64 {
	if view.Now < g.until {
		return g.part
	}
	g.portions = g.portions[:0]
	half := 0.0
	for i := range g.tenants {
		if t := &g.tenants[i]; t.quota > 0 {
			g.portions = append(g.portions, portion{t.asked.ValueAt(view.Now), t.quota * view.WindowSeconds})
			half += t.quota * view.WindowSeconds / 2
		}
	}
	slices.SortFunc(g.portions, func(a, b portion) int { return cmp.Compare(a.ratio(), b.ratio()) })
	weight := 0.0
	for _, p := range g.portions {
		if weight += p.quota; weight >= half {
			g.part = p.ratio()
			break
		}
	}
	g.until = view.Now + refresh
	return g.part
}

// Ended takes the fading counts of attempts that ended in good time and poorly, after each attempt: while too many
// end poorly, fewer requests beyond a share are admitted.
func (g *Limiter) RecordOutcomes(fine, poor float64) {
	if poor > maxPoor*(fine+poor)+0.5 {
		g.admitted = max(leastAdmitted, g.admitted*stepDown)
	} else {
		g.admitted = min(1, g.admitted+stepUp)
	}
}

// Admitted returns the part of requests beyond a share that is admitted.
func (g *Limiter) AdmittedFraction() float64 { return g.admitted }

// Asked returns the counts of the tenants' requests.
func (g *Limiter) RequestCounts() []decay.Sum {
	sums := make([]decay.Sum, len(g.tenants))
	for i := range g.tenants {
		sums[i] = g.tenants[i].asked
	}
	return sums
}

// Restore lays in what another gate knew: Admitted, and Asked for as many tenants as both have.
func (g *Limiter) Restore(admitted float64, asked []decay.Sum) {
	g.admitted = admitted
	for i := range min(len(asked), len(g.tenants)) {
		g.tenants[i].asked = asked[i]
	}
}
