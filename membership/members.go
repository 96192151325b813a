package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// goneTimeout is how long a member may be silent before it counts as gone: five states in a row are lost by then.
	goneTimeout = 5 * time.Second
	// forgetTimeout is how long a member that is gone is shown to operators.
	forgetTimeout = 60 * goneTimeout
	// maxCompleteLists is of how many members complete lists are kept where these do not fit into one state, so that a
	// fleet of thousands with long lists does not fill the memory. Few are enough: the lists of most members agree.
	maxCompleteLists = 8
)

// Member is a process of the fleet as this one heard of it.
type Member struct {
	MemberState
	LastSeen time.Time // when its newest state came

	completeDigest uint64 // digest of the complete lists that are kept here; 0: it sent none
}

// IsPartial reports whether the member has longer lists than are known here.
func (m Member) IsPartial() bool {
	return m.CompleteListsDigest != 0 && m.CompleteListsDigest != m.completeDigest
}

// IsGone reports whether the member has been silent for goneTimeout.
func (m Member) IsGone(now time.Time) bool { return now.Sub(m.LastSeen) > goneTimeout }

// memberTable keeps the newest state of each member, of MaxMembers at most. Its zero value is empty and ready for use.
type memberTable struct {
	mu       sync.Mutex // guards all below
	members  map[string]Member
	complete []string // names of members whose complete lists are kept, the latest last
}

// update takes a state and reports whether it was news. States may come late and out of order, as any of them may be
// relayed: one of an earlier incarnation, or of this one with a lower number, changes nothing unless the member is
// gone. The state of a member that is gone is always taken, as its numbers may begin anew after a loss of its files.
func (t *memberTable) update(state MemberState, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, isKnown := t.members[state.Name]
	switch {
	case !isKnown && len(t.members) >= MaxMembers && !t.evictLongestGone(now):
		return false
	case isKnown && known.isCompletedBy(state):
		t.addCompleteLists(known, state)
		return true
	case isKnown && known.isAtLeastAsNewAs(state) && !known.IsGone(now):
		return false
	}
	member := Member{MemberState: state, LastSeen: now}
	if isKnown && known.hasCompleteListsOf(state) {
		member.Drains, member.Evacuations, member.completeDigest = known.Drains, known.Evacuations, known.completeDigest
	}
	if t.members == nil {
		t.members = map[string]Member{}
	}
	t.members[state.Name] = member
	return true
}

// hasCompleteListsOf reports whether the complete lists that a state was cut from are kept here already.
func (m Member) hasCompleteListsOf(state MemberState) bool {
	return state.Incarnation == m.Incarnation && state.CompleteListsDigest != 0 && state.CompleteListsDigest == m.completeDigest
}

// isCompletedBy reports whether a state holds the complete lists that the member's newest state was cut from.
func (m Member) isCompletedBy(state MemberState) bool {
	return state.Incarnation == m.Incarnation && state.CompleteListsDigest == 0 &&
		m.IsPartial() && state.listsDigest() == m.CompleteListsDigest
}

// isAtLeastAsNewAs reports whether the member's newest state is no older than another.
func (m Member) isAtLeastAsNewAs(state MemberState) bool {
	return state.Incarnation < m.Incarnation || state.Incarnation == m.Incarnation && state.Seq <= m.Seq
}

// addCompleteLists adds the lists of a state to a member's newest state, and drops those of the member that were added
// first where there are too many.
func (t *memberTable) addCompleteLists(member Member, state MemberState) {
	member.Drains, member.Evacuations, member.completeDigest = state.Drains, state.Evacuations, member.CompleteListsDigest
	t.members[member.Name] = member
	t.complete = slices.DeleteFunc(t.complete, func(name string) bool { return name == member.Name })
	t.complete = append(t.complete, member.Name)
	if len(t.complete) <= maxCompleteLists {
		return
	}
	if first, isKnown := t.members[t.complete[0]]; isKnown && first.completeDigest != 0 {
		first.Drains, first.Evacuations, first.completeDigest = nil, nil, 0
		t.members[t.complete[0]] = first
	}
	t.complete = t.complete[1:]
}

// evictLongestGone removes the member that has been gone for longest, and reports whether one was gone.
func (t *memberTable) evictLongestGone(now time.Time) bool {
	longest := ""
	for name, member := range t.members {
		if member.IsGone(now) && (longest == "" || member.LastSeen.Before(t.members[longest].LastSeen)) {
			longest = name
		}
	}
	delete(t.members, longest)
	return longest != ""
}

// remove forgets a member that has left.
func (t *memberTable) remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, name)
}

// list forgets members that have been silent for forgetTimeout and returns the others, sorted by name.
func (t *memberTable) list(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for name, member := range t.members {
		if now.Sub(member.LastSeen) > forgetTimeout {
			delete(t.members, name)
			continue
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
