// Package agreed is about one ordered history of versions of a small document that many balancers act on, and about the leases
// under which they do. A Keeper is one of the few whose majority accepts versions; a Holder is what every process has, and tells
// what to act on. Both are pure: the clock, chance, messages and what lasts are handed in, so the same code runs on sockets and in a seeded
// run of a million steps. docs/design/agreement.md has the reasons.
package consensus

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what can be agreed on. A document holds 1,024 hosts and 1,024 zones whose names are as long as may be; with what is open, all versions that
// count go into one message.
const (
	maxNames     = 4096
	maxLimits    = 4096
	maxText      = 256 // bytes
	maxDocument  = 640 << 10
	maxChange    = 320 << 10
	maxBetween   = 1024      // versions between the floor and the latest
	maxChain     = 960 << 10 // bytes of them: the first, and what each later one changed
	maxHeldNames = 640 << 10 // names in all of them
)

// Document is what all agree on.
type ReplicatedConfig struct {
	EjectedEndpoints []string         `cbor:"1,keyasint,omitempty" json:"bans,omitempty"` // hosts out by hand, sorted
	Limits           map[string]int64 `cbor:"2,keyasint,omitempty" json:"limits,omitempty"`
	SettingsDigest   string           `cbor:"3,keyasint,omitempty" json:"settings_digest,omitempty"` // of the settings file in force
	DiscoverySource  string           `cbor:"4,keyasint,omitempty" json:"list_of,omitempty"`         // the discovery whose list counts
	MinListIndex     uint64           `cbor:"5,keyasint,omitempty" json:"list_from,omitempty"`       // and from which index on
	EvacuatedZones   []string         `cbor:"6,keyasint,omitempty" json:"zones_left,omitempty"`      // sorted
}

// Version is one place of the history.
type Revision struct {
	Number     uint64           `cbor:"1,keyasint" json:"version"`
	ProposalID string           `cbor:"2,keyasint,omitempty" json:"id,omitempty"` // of the proposal
	Author     string           `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Reason     string           `cbor:"4,keyasint,omitempty" json:"why,omitempty"`
	Config     ReplicatedConfig `cbor:"5,keyasint" json:"document"`

	step *Proposal // what it changed, where that is known
	size int       // bytes of that
}

// Change is a proposal: what is to differ from the version before.
type Proposal struct {
	ID               string           `cbor:"1,keyasint"`
	Author           string           `cbor:"2,keyasint,omitempty"`
	Reason           string           `cbor:"3,keyasint,omitempty"`
	BaseRevision     uint64           `cbor:"4,keyasint,omitempty"` // the version that it was made for; 0: any
	EjectEndpoints   []string         `cbor:"5,keyasint,omitempty"`
	UnejectEndpoints []string         `cbor:"6,keyasint,omitempty"`
	Limits           map[string]int64 `cbor:"7,keyasint,omitempty"` // under 0: taken back
	SettingsDigest   *string          `cbor:"8,keyasint,omitempty"`
	DiscoverySource  *string          `cbor:"9,keyasint,omitempty"`
	MinListIndex     *uint64          `cbor:"10,keyasint,omitempty"`
	EvacuateZones    []string         `cbor:"11,keyasint,omitempty"`
	RestoreZones     []string         `cbor:"12,keyasint,omitempty"`
}

// What can be wrong with a proposal. ErrBase: another version came in between.
var (
	ErrBaseRevision = errors.New("made for another version")
	ErrNoChange     = errors.New("changes nothing")
)

// Check tells whether a change can be one, whatever document it meets.
func (c *Proposal) Validate() error {
	if c.ID == "" {
		return errors.New("id: missing")
	}
	for _, f := range []struct {
		name  string
		texts []string
		most  int
	}{{"id", []string{c.ID}, 1}, {"by", []string{c.Author}, 1}, {"why", []string{c.Reason}, 1}, {"out", c.EjectEndpoints, maxNames}, {"back", c.UnejectEndpoints, maxNames},
		{"leave", c.EvacuateZones, maxNames}, {"return", c.RestoreZones, maxNames}, {"limits", keys(c.Limits), maxLimits}, {"settings_digest", opt(c.SettingsDigest), 1},
		{"list_of", opt(c.DiscoverySource), 1}} {
		if len(f.texts) > f.most {
			return fmt.Errorf("%s: over %d entries", f.name, f.most)
		}
		for _, text := range f.texts {
			if len(text) > maxText || strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }) {
				return fmt.Errorf("%s: %.40q is over %d bytes or not plain text", f.name, text, maxText)
			}
			if text == "" && f.most > 1 {
				return fmt.Errorf("%s: an empty name", f.name)
			}
		}
	}
	for _, both := range []struct {
		name     string
		one, two []string
	}{{"back", c.EjectEndpoints, c.UnejectEndpoints}, {"return", c.EvacuateZones, c.RestoreZones}} {
		other := slices.Sorted(slices.Values(both.two))
		for _, name := range both.one {
			if _, has := slices.BinarySearch(other, name); has {
				return fmt.Errorf("%s: %q goes both ways", both.name, name)
			}
		}
	}
	if size := len(pack(c)); size > maxChange {
		return fmt.Errorf("out: %d bytes in all are over the %d of one proposal; propose in parts", size, maxChange)
	}
	return nil
}

func opt(s *string) []string {
	if s == nil {
		return nil
	}
	return []string{*s}
}

func keys(m map[string]int64) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// over is a set with some names more and some fewer, sorted.
func over(set, more, fewer []string) []string {
	if len(more) == 0 && len(fewer) == 0 {
		return set // Sets are not changed in place.
	}
	out := slices.Concat(set, more)
	slices.Sort(out)
	out = slices.Compact(out)
	gone := slices.Sorted(slices.Values(fewer))
	return slices.DeleteFunc(out, func(name string) bool { _, is := slices.BinarySearch(gone, name); return is })
}

// apply makes the next version. It depends on nothing but its arguments, as each keeper does it for itself.
func (c *Proposal) apply(was Revision) (Revision, error) {
	if c.BaseRevision != 0 && c.BaseRevision != was.Number {
		return was, fmt.Errorf("%w: %d, not %d", ErrBaseRevision, was.Number, c.BaseRevision)
	}
	next := c.after(was)
	d := next.Config
	switch size := len(pack(d)); {
	case slices.Equal(pack(d), pack(was.Config)):
		return was, ErrNoChange
	case size > maxDocument, len(d.EjectedEndpoints) > maxNames, len(d.Limits) > maxLimits, len(d.EvacuatedZones) > maxNames:
		return was, fmt.Errorf("the document would be too large: %d bytes, %d hosts, %d limits", size, len(d.EjectedEndpoints), len(d.Limits))
	}
	return next, nil
}

var canonical = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are the library's own.
	}
	return mode
}()

func pack(x any) []byte {
	bytes, err := canonical.Marshal(x)
	if err != nil {
		panic(err) // All that is packed is our own types.
	}
	return bytes
}

// Digest tells a version from every other that could have its number.
func (v Revision) Digest() string { return fmt.Sprintf("%x", sha256.Sum256(pack(v)))[:16] }

// Acting is what to act on.
type EffectiveConfig struct {
	MinRevision      uint64  `json:"Floor"` // the versions that it comes from
	LatestRevision   uint64  `json:"Latest"`
	IsLeased         bool    `json:"Leased"` // under a lease; else alone
	BudgetShare      float64 `json:"Part"`   // of the fleet's budgets; 0: they are not divided
	ReplicatedConfig         // the strictest of them
}

// strictest puts versions together, from the floor on: what any of them forbids is forbidden. What is neither stricter nor looser is the
// floor's.
func strictest(versions []Revision) ReplicatedConfig {
	if len(versions) == 0 {
		return ReplicatedConfig{}
	}
	first := versions[0].Config
	d := ReplicatedConfig{SettingsDigest: first.SettingsDigest, DiscoverySource: first.DiscoverySource, MinListIndex: first.MinListIndex}
	return d.with(versions)
}

// with is a document that later versions make stricter.
func (d ReplicatedConfig) with(versions []Revision) ReplicatedConfig {
	limits := map[string]int64{}
	maps.Copy(limits, d.Limits)
	d.Limits = limits
	for _, v := range versions {
		d.EjectedEndpoints, d.EvacuatedZones, d.MinListIndex = union(d.EjectedEndpoints, v.Config.EjectedEndpoints), union(d.EvacuatedZones, v.Config.EvacuatedZones), max(d.MinListIndex, v.Config.MinListIndex)
		for name, most := range v.Config.Limits {
			if now, stated := d.Limits[name]; !stated || most < now {
				d.Limits[name] = most
			}
		}
	}
	return d
}

// union is two sorted sets in one.
func union(set, more []string) []string {
	if new := without(more, set); len(new) > 0 {
		return over(set, new, nil)
	}
	return set
}
