package outlier

import "math"

// EndpointStatus is the state of one endpoint with evidence, as shown to operators.
type EndpointStatus struct {
	ID                     uint32  `json:"-"`
	Endpoint               string  `json:"host"`      // filled in by the caller
	Reporters              int     `json:"witnesses"` // balancers that observed failures, this one included
	ReporterZones          int     `json:"zones"`     // distinct zones of the reporters
	ConsecutiveFailures    int     `json:"failures_in_a_row"`
	OwnConsecutiveFailures int     `json:"own_failures_in_a_row"`
	Ejected                bool    `json:"heeded"`
	HoldsProbeLease        bool    `json:"turn"`
	Penalty                float64 `json:"part"`   // see Detector.Penalty, to two digits
	EjectedMillis          int64   `json:"for_ms"` // since the ejection
}

// Status returns the endpoints that are ejected or have reported failures, in no particular order.
func (d *Detector) Status(now int64) (all []EndpointStatus) {
	for id, endpoint := range d.active {
		known := d.collectEvidence(now, endpoint, evidenceTimeout)
		if known.reporters == 0 && !endpoint.isEjected() {
			continue
		}
		status := EndpointStatus{
			ID:                     id,
			Reporters:              known.reporters,
			ReporterZones:          known.zones,
			ConsecutiveFailures:    known.failures,
			OwnConsecutiveFailures: endpoint.consecutiveFailures,
			Ejected:                endpoint.isEjected(),
			Penalty:                math.Round(d.Penalty(now, id)*100) / 100,
		}
		if endpoint.isEjected() {
			status.HoldsProbeLease = d.holdsProbeLease(now, id, endpoint)
			status.EjectedMillis = (now - endpoint.ejectedAt) / millisecond
		}
		all = append(all, status)
	}
	return all
}
