package consensus

import (
	"crypto/sha256"
	"fmt"
	"maps"
)

// Bounds of a configuration. 1,024 endpoints and 1,024 zones with names of the maximum length fit. All active
// revisions together have to fit into one message.
const (
	maxNames       = 4096      // ejected endpoints, and also evacuated zones
	maxLimits      = 4096      // limits
	maxNameBytes   = 256       // per name or text
	maxConfigBytes = 640 << 10 // per encoded configuration
)

// ReplicatedConfig is the configuration that all processes of a fleet agree on. Revisions share its slices and maps,
// which are therefore never modified in place.
type ReplicatedConfig struct {
	// EjectedEndpoints are the endpoints that operators ejected, sorted.
	EjectedEndpoints []string `cbor:"1,keyasint,omitempty" json:"bans,omitempty"`
	// Limits maps the names of limits, such as a tenant's quota, to their values.
	Limits map[string]int64 `cbor:"2,keyasint,omitempty" json:"limits,omitempty"`
	// SettingsDigest is the digest of the settings file in effect.
	SettingsDigest string `cbor:"3,keyasint,omitempty" json:"settings_digest,omitempty"`
	// DiscoverySource is the address of the discovery service whose endpoint lists are used.
	DiscoverySource string `cbor:"4,keyasint,omitempty" json:"list_of,omitempty"`
	// MinListIndex is the lowest index of an endpoint list from that service that is used.
	MinListIndex uint64 `cbor:"5,keyasint,omitempty" json:"list_from,omitempty"`
	// EvacuatedZones are the evacuated zones, sorted.
	EvacuatedZones []string `cbor:"6,keyasint,omitempty" json:"zones_left,omitempty"`
}

// nameCount returns the number of names in the configuration, on which its memory use depends.
func (c *ReplicatedConfig) nameCount() int {
	return len(c.EjectedEndpoints) + len(c.EvacuatedZones) + len(c.Limits)
}

func (c *ReplicatedConfig) isWithinCountLimits() bool {
	return len(c.EjectedEndpoints) <= maxNames && len(c.EvacuatedZones) <= maxNames && len(c.Limits) <= maxLimits
}

// Revision is one entry of the history.
type Revision struct {
	// Number is the position in the history, from 1.
	Number uint64 `cbor:"1,keyasint" json:"version"`
	// ProposalID is the ID of the proposal that became this revision; empty for the first revision.
	ProposalID string `cbor:"2,keyasint,omitempty" json:"id,omitempty"`
	// Author is who proposed the revision, and Reason is the reason that they gave.
	Author string `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Reason string `cbor:"4,keyasint,omitempty" json:"why,omitempty"`
	// Config is the complete configuration as of this revision.
	Config ReplicatedConfig `cbor:"5,keyasint" json:"document"`

	delta      *Proposal // the changes from the previous revision; nil if unknown
	deltaBytes int       // encoded size of delta
}

// digestLength is the number of hexadecimal digits in a digest: enough that two different revisions with the same
// number do not get the same digest by chance.
const digestLength = 16

// Digest returns a hash of the revision, which distinguishes it from other revisions with the same number.
func (r Revision) Digest() string {
	return fmt.Sprintf("%x", sha256.Sum256(encode(r)))[:digestLength]
}

// EffectiveConfig is the configuration that a process acts on: the strictest configuration of the revisions that are
// active in this process.
type EffectiveConfig struct {
	// MinRevision and LatestRevision are the first and the last of these revisions; 0 if none is known.
	MinRevision    uint64 `json:"Floor"`
	LatestRevision uint64 `json:"Latest"`
	// IsLeased reports whether the process holds a lease. Without one, it acts on the revisions that it last knew.
	IsLeased bool `json:"Leased"`
	// BudgetShare is this process's share of the fleet's budgets, from 0 to 1; 0 if budgets are not divided.
	BudgetShare float64 `json:"Part"`

	ReplicatedConfig
}

// strictest returns the strictest configuration of consecutive revisions: whatever any of them forbids is forbidden.
// Values that are neither stricter nor looser than others come from the first revision.
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

// tightenedBy returns the configuration with everything that the revisions make stricter: more ejected endpoints and
// evacuated zones, lower limits, and a higher min list index.
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
			if current, exists := c.Limits[name]; !exists || limit < current {
				c.Limits[name] = limit
			}
		}
	}
	return c
}
