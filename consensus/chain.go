package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// chain is versions in a row in little room: the first whole, and of each later one what it changed.
type chain struct {
	First Revision   `cbor:"1,keyasint"`
	Steps []Proposal `cbor:"2,keyasint,omitempty"`
}

var errChain = errors.New("not versions in a row")

// chainOf gives versions in a row as a chain.
func chainOf(versions []Revision) (c chain) {
	if len(versions) == 0 {
		return c
	}
	return chain{First: versions[0], Steps: stepsOf(versions[0], versions[1:])}
}

// stepsOf gives what each version changed, the first against the one before.
func stepsOf(before Revision, versions []Revision) []Proposal {
	steps := make([]Proposal, 0, len(versions))
	for _, v := range versions {
		if v.step == nil { // It came whole.
			v.step = step(before, v)
		}
		steps = append(steps, *v.step)
		before = v
	}
	return steps
}

// follow gives the versions that steps make, one after the other, from the one before them.
func follow(before Revision, steps []Proposal) ([]Revision, error) {
	if len(steps) > maxHistory+maxBetween {
		return nil, fmt.Errorf("%w: %d of them", errChain, len(steps))
	}
	versions, names := make([]Revision, 0, len(steps)), 0
	for n := range steps {
		before = steps[n].after(before)
		before.step = &steps[n]
		if names += before.Config.names(); names > 2*maxHeldNames {
			return nil, fmt.Errorf("%w: too many names", errChain) // Guards memory: few bytes can make many.
		}
		versions = append(versions, before)
	}
	return versions, nil
}

// versions gives a chain as versions; none for one without a first.
func (c *chain) versions() ([]Revision, error) {
	if c.First.Number == 0 {
		return nil, nil
	}
	rest, err := follow(c.First, c.Steps)
	return append([]Revision{c.First}, rest...), err
}

// PackChain gives versions in a row as bytes, and UnpackChain gives them back.
func MarshalRevisions(versions []Revision) []byte { return pack(chainOf(versions)) }

// UnpackChain takes no bytes that PackChain would not give.
func UnmarshalRevisions(bytes []byte) ([]Revision, error) {
	var c chain
	if err := strict.Unmarshal(bytes, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errChain, err)
	}
	return c.versions()
}

// step is what a version changed against the one before: the least change that makes it.
func step(was, next Revision) *Proposal {
	c := &Proposal{ID: next.ProposalID, Author: next.Author, Reason: next.Reason, Limits: map[string]int64{}}
	c.EjectEndpoints, c.UnejectEndpoints = without(next.Config.EjectedEndpoints, was.Config.EjectedEndpoints), without(was.Config.EjectedEndpoints, next.Config.EjectedEndpoints)
	c.EvacuateZones, c.RestoreZones = without(next.Config.EvacuatedZones, was.Config.EvacuatedZones), without(was.Config.EvacuatedZones, next.Config.EvacuatedZones)
	for name, most := range next.Config.Limits {
		if before, stated := was.Config.Limits[name]; !stated || before != most {
			c.Limits[name] = most
		}
	}
	for name := range was.Config.Limits {
		if _, stated := next.Config.Limits[name]; !stated {
			c.Limits[name] = -1
		}
	}
	if d := next.Config.SettingsDigest; d != was.Config.SettingsDigest {
		c.SettingsDigest = &d
	}
	if s := next.Config.DiscoverySource; s != was.Config.DiscoverySource {
		c.DiscoverySource = &s
	}
	if f := next.Config.MinListIndex; f != was.Config.MinListIndex {
		c.MinListIndex = &f
	}
	return c
}

// without gives the names of one sorted set that another does not have.
func without(set, other []string) (rest []string) {
	for _, name := range set {
		if _, has := slices.BinarySearch(other, name); !has {
			rest = append(rest, name)
		}
	}
	return rest
}

// names is how many names a document holds: what it takes in memory follows from that.
func (d *ReplicatedConfig) names() int {
	return len(d.EjectedEndpoints) + len(d.EvacuatedZones) + len(d.Limits)
}

// after is the version that a change makes of another, whatever its size.
func (c *Proposal) after(was Revision) Revision {
	d := was.Config
	d.EjectedEndpoints, d.EvacuatedZones = over(d.EjectedEndpoints, c.EjectEndpoints, c.UnejectEndpoints), over(d.EvacuatedZones, c.EvacuateZones, c.RestoreZones)
	if len(c.Limits) > 0 || d.Limits == nil {
		if d.Limits = maps.Clone(d.Limits); d.Limits == nil {
			d.Limits = map[string]int64{}
		}
	}
	for name, most := range c.Limits {
		if d.Limits[name] = most; most < 0 {
			delete(d.Limits, name)
		}
	}
	if c.SettingsDigest != nil {
		d.SettingsDigest = *c.SettingsDigest
	}
	if c.DiscoverySource != nil {
		d.DiscoverySource = *c.DiscoverySource
	}
	if c.MinListIndex != nil {
		d.MinListIndex = *c.MinListIndex
	}
	return Revision{Number: was.Number + 1, ProposalID: c.ID, Author: c.Author, Reason: c.Reason, Config: d}
}
