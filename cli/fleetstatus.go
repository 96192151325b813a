package cli

// fleetStatus is what the commands show of the answer to GET /fleet; --json shows all of it. The keys are those of
// package fleet.
type fleetStatus struct {
	Name             string         `json:"name"`
	Leader           string         `json:"leads"` // empty: none is known
	MaxDisagreement  string         `json:"t"`
	LeaseLeftMillis  int64          `json:"lease_left_ms"`
	DecisionsAlone   int64          `json:"decisions_alone"` // without a lease
	Effective        effectiveState `json:"acting"`
	ConnectionSubset []string       `json:"tends"` // cache hosts to which it keeps idle connections
	Zones            []zoneStatus   `json:"zones"`
	Outliers         *outlierStatus `json:"signals"`          // nil: shared outlier detection is off
	PeerDrains       []string       `json:"drains_by_others"` // hosts that drain by other members' lists
	Members          []memberStatus `json:"members"`
}

// effectiveState is the configuration that the process acts on.
type effectiveState struct {
	MinRevision    uint64           `json:"Floor"`
	LatestRevision uint64           `json:"Latest"`
	HasLease       bool             `json:"Leased"`
	BudgetShare    float64          `json:"Part"`
	Ejected        []string         `json:"bans"`
	Limits         map[string]int64 `json:"limits"`
}

// zoneStatus is how a zone is used. The keys are those that zones list --json prints; four of them begin with a capital
// there, and match the lower-case ones of the admin endpoint.
type zoneStatus struct {
	Zone                     string  `json:"Zone"`
	Endpoints                int     `json:"Hosts"`
	FailingEndpoints         int     `json:"Failing"`
	IsOwn                    bool    `json:"Own"`
	IsEvacuatedByHand        bool    `json:"left_by_hand"`
	IsEvacuatedAsFailing     bool    `json:"left_as_it_fails"`
	ShareOfKeysSentElsewhere float64 `json:"part_away"`
}

// isEvacuated tells whether the fleet leaves the zone, whoever had it do so.
func (z zoneStatus) isEvacuated() bool { return z.IsEvacuatedByHand || z.IsEvacuatedAsFailing }

type outlierStatus struct {
	ReportsSent     int             `json:"told"`
	ReportsReceived int             `json:"taken"`
	ReportsLost     int             `json:"lost"`
	Endpoints       []outlierRecord `json:"hosts"`
}

// outlierRecord is a cache host of which failures are known.
type outlierRecord struct {
	Endpoint               string  `json:"host"`
	Witnesses              int     `json:"witnesses"` // members at which it fails
	Zones                  int     `json:"zones"`     // of these
	ConsecutiveFailures    int     `json:"failures_in_a_row"`
	OwnConsecutiveFailures int     `json:"own_failures_in_a_row"`
	IsEjected              bool    `json:"heeded"`
	HasProbeLease          bool    `json:"turn"`
	ShareEjected           float64 `json:"part"`
	EjectedForMillis       int64   `json:"for_ms"`
}

type memberStatus struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	IsReplica      bool   `json:"keeper"`
	IsLeader       bool   `json:"leads"`
	HasLease       bool   `json:"leased"`
	MinRevision    uint64 `json:"floor"`
	LatestRevision uint64 `json:"latest"`
	ListIndex      uint64 `json:"list_index"`
	HeardMillisAgo int64  `json:"heard_ms_ago"`
	HasLeft        bool   `json:"gone"`
}

// fleetStatus returns the state of the fleet as the process has it, and the text of the response. The text is there as
// well where it cannot be decoded.
func (a *adminClient) fleetStatus() (status fleetStatus, text string, err error) {
	text, err = a.requestJSON("/fleet", &status)
	return status, text, err
}

// orElse is the text, or the other one if it is empty.
func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}
