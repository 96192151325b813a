package consensus

import (
	"crypto/sha256"
	"fmt"
	"maps"
)

// Bounds of a configuration: 1,024 hosts and 1,024 zones with names as long as may be fit. All active revisions go
// into one message.
const (
	maxNames       = 4096      // hosts; zones
	maxLimits      = 4096      // stated limits
	maxNameBytes   = 256       // of a name or a text
	maxConfigBytes = 640 << 10 // of a configuration
)

// ReplicatedConfig is what all processes of a fleet agree on. Slices and maps are shared between revisions and are
// never changed in place.
type ReplicatedConfig struct {
	// EjectedEndpoints are the hosts that operators ejected, sorted.
	EjectedEndpoints []string `cbor:"1,keyasint,omitempty" json:"bans,omitempty"`
	// Limits are stated bounds by name, such as a tenant's quota.
	Limits map[string]int64 `cbor:"2,keyasint,omitempty" json:"limits,omitempty"`
	// SettingsDigest is that of the settings file in force.
	SettingsDigest string `cbor:"3,keyasint,omitempty" json:"settings_digest,omitempty"`
	// DiscoverySource is the address of the discovery whose endpoint list counts.
	DiscoverySource string `cbor:"4,keyasint,omitempty" json:"list_of,omitempty"`
	// MinListIndex is the index from which on lists of that discovery count.
	MinListIndex uint64 `cbor:"5,keyasint,omitempty" json:"list_from,omitempty"`
	// EvacuatedZones are the evacuated zones, sorted.
	EvacuatedZones []string `cbor:"6,keyasint,omitempty" json:"zones_left,omitempty"`
}

// nameCount is how many names a configuration has: what it takes in memory follows from that.
func (c *ReplicatedConfig) nameCount() int {
	return len(c.EjectedEndpoints) + len(c.EvacuatedZones) + len(c.Limits)
}

func (c *ReplicatedConfig) hasCountsWithinBounds() bool {
	return len(c.EjectedEndpoints) <= maxNames && len(c.EvacuatedZones) <= maxNames && len(c.Limits) <= maxLimits
}

// Revision is one place of the history.
type Revision struct {
	// Number counts revisions from 1.
	Number uint64 `cbor:"1,keyasint" json:"version"`
	// ProposalID is that of the proposal that made it; empty for the first.
	ProposalID string `cbor:"2,keyasint,omitempty" json:"id,omitempty"`
	// Author is who proposed it, and Reason the reason that was given.
	Author string `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Reason string `cbor:"4,keyasint,omitempty" json:"why,omitempty"`
	// Config is the whole configuration as of this revision.
	Config ReplicatedConfig `cbor:"5,keyasint" json:"document"`

	delta      *Proposal // what it changed against the one before, where that is known
	deltaBytes int       // of delta, encoded
}

// digestLength, in hexadecimal digits, is enough that two revisions of one number do not share a digest by chance.
const digestLength = 16

// Digest tells a revision from every other that could have its number.
func (r Revision) Digest() string {
	return fmt.Sprintf("%x", sha256.Sum256(encode(r)))[:digestLength]
}

// EffectiveConfig is what a process acts on: the strictest of the revisions that are in force here.
type EffectiveConfig struct {
	// MinRevision and LatestRevision are the first and the last of these revisions; 0: none is known.
	MinRevision    uint64 `json:"Floor"`
	LatestRevision uint64 `json:"Latest"`
	// IsLeased tells whether the process is under a lease. Without one it acts alone, on what it knows.
	IsLeased bool `json:"Leased"`
	// BudgetShare is this process's share of the fleet's budgets, 0 to 1; 0: they are not divided.
	BudgetShare float64 `json:"Part"`

	ReplicatedConfig
}

// strictest puts revisions in a row together: what any of them forbids is forbidden, and what is neither stricter nor
// looser is as the first has it.
func strictest(revisions []Revision) ReplicatedConfig {
	if len(revisions) == 0 {
		return ReplicatedConfig{}
	}
	first := revisions[0].Config
	config := ReplicatedConfig{
		SettingsDigest:  first.SettingsDigest,
		DiscoverySource: first.DiscoverySource,
		MinListIndex:    first.MinListIndex,
	}
	return config.tightenedBy(revisions)
}

// tightenedBy is a configuration with all that later revisions make stricter: more ejected hosts and evacuated zones,
// lower limits, a higher first index of lists.
func (c ReplicatedConfig) tightenedBy(revisions []Revision) ReplicatedConfig {
	limits := map[string]int64{}
	maps.Copy(limits, c.Limits)
	c.Limits = limits
	for n := range revisions {
		later := &revisions[n].Config
		c.EjectedEndpoints = union(c.EjectedEndpoints, later.EjectedEndpoints)
		c.EvacuatedZones = union(c.EvacuatedZones, later.EvacuatedZones)
		c.MinListIndex = max(c.MinListIndex, later.MinListIndex)
		for name, limit := range later.Limits {
			if current, isStated := c.Limits[name]; !isStated || limit < current {
				c.Limits[name] = limit
			}
		}
	}
	return c
}
