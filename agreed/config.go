package agreed

import (
	"crypto/sha256"
	"fmt"
	"maps"
)

// Bounds of a configuration: 1,024 hosts and 1,024 zones with names as long as may be fit. All active revisions go into one message.
const (
	maxNames       = 4096      // hosts; zones
	maxLimits      = 4096      // stated limits
	maxNameBytes   = 256       // of a name or a text
	maxConfigBytes = 640 << 10 // of a configuration
)

// ReplicatedConfig is what all processes of a fleet agree on. Slices and maps are shared between revisions and are never changed in place.
type Document struct {
	// Bans are the hosts that operators ejected, sorted.
	Bans []string `cbor:"1,keyasint,omitempty" json:"bans,omitempty"`
	// Limits are stated bounds by name, such as a tenant's quota.
	Limits map[string]int64 `cbor:"2,keyasint,omitempty" json:"limits,omitempty"`
	// Digest is that of the settings file in force.
	Digest string `cbor:"3,keyasint,omitempty" json:"settings_digest,omitempty"`
	// Source is the address of the discovery whose endpoint list counts.
	Source string `cbor:"4,keyasint,omitempty" json:"list_of,omitempty"`
	// From is the index from which on that discovery's lists count.
	From uint64 `cbor:"5,keyasint,omitempty" json:"list_from,omitempty"`
	// Left are the evacuated zones, sorted.
	Left []string `cbor:"6,keyasint,omitempty" json:"zones_left,omitempty"`
}

// nameCount is how many names a configuration has: what it takes in memory follows from that.
func (d *Document) nameCount() int { return len(d.Bans) + len(d.Left) + len(d.Limits) }

// Revision is one place of the history.
type Version struct {
	// Number counts revisions from 1.
	Number uint64 `cbor:"1,keyasint" json:"version"`
	// ID is that of the proposal that made it; empty for the first.
	ID string `cbor:"2,keyasint,omitempty" json:"id,omitempty"`
	// By and Why are who proposed it, and the reason given.
	By  string `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Why string `cbor:"4,keyasint,omitempty" json:"why,omitempty"`
	// Document is the whole configuration as of this revision.
	Document Document `cbor:"5,keyasint" json:"document"`

	delta      *Change // what it changed against the one before, where that is known
	deltaBytes int     // of delta, encoded
}

// Digest tells a revision from every other that could have its number.
func (v Version) Digest() string { return fmt.Sprintf("%x", sha256.Sum256(encode(v)))[:16] }

// EffectiveConfig is what a process acts on: the strictest of the revisions that are in force here.
type Acting struct {
	// Floor and Latest are the first and the last of these revisions; 0: none is known.
	Floor  uint64 `json:"Floor"`
	Latest uint64 `json:"Latest"`
	// Leased tells whether the process is under a lease. Without one it acts alone, on what it knows.
	Leased bool `json:"Leased"`
	// Part is this process's share of the fleet's budgets, 0 to 1; 0: they are not divided.
	Part float64 `json:"Part"`

	Document
}

// strictest puts revisions in a row together: what any of them forbids is forbidden, and what is neither stricter nor looser is as the first
// has it.
func strictest(revisions []Version) Document {
	if len(revisions) == 0 {
		return Document{}
	}
	first := revisions[0].Document
	d := Document{Digest: first.Digest, Source: first.Source, From: first.From}
	return d.tightenedBy(revisions)
}

// tightenedBy is a configuration with all that later revisions make stricter.
func (d Document) tightenedBy(revisions []Version) Document {
	limits := map[string]int64{}
	maps.Copy(limits, d.Limits)
	d.Limits = limits
	for _, v := range revisions {
		d.Bans, d.Left = union(d.Bans, v.Document.Bans), union(d.Left, v.Document.Left)
		d.From = max(d.From, v.Document.From)
		for name, limit := range v.Document.Limits {
			if now, stated := d.Limits[name]; !stated || limit < now {
				d.Limits[name] = limit
			}
		}
	}
	return d
}
