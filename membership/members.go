package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// goneTimeout is how long a member may be silent before it counts as gone. By then five consecutive states were
	// missed.
	goneTimeout = 5 * time.Second
	// forgetTimeout is how long a silent member stays in the table, so that operators can still see it.
	forgetTimeout = 60 * goneTimeout
	// maxCompleteLists is the number of members whose complete lists are kept when they do not fit into a published
	// state. It bounds memory in a fleet of thousands with long lists. A few are enough, as most members have the same
	// lists.
	maxCompleteLists = 8
)

// Member is another process of the fleet, as known to this process.
type Member struct {
	MemberState
	LastSeen time.Time // when its newest state was received

	completeDigest uint64 // digest of the complete lists stored in MemberState; 0 if none were received separately
}

// IsPartial reports whether the lists of the member are known only in truncated form.
func (m Member) IsPartial() bool {
	return m.CompleteListsDigest != 0 && m.CompleteListsDigest != m.completeDigest
}

// IsGone reports whether the member has been silent for goneTimeout.
func (m Member) IsGone(now time.Time) bool { return now.Sub(m.LastSeen) > goneTimeout }

// memberTable holds the newest state of each member, for at most MaxMembers members. The zero value is ready to use.
type memberTable struct {
	mu                sync.Mutex // guards the fields below
	members           map[string]Member
	withCompleteLists []string // names of the members whose complete lists are kept, oldest first
}

// update stores a state and reports whether it was new. Relayed states may arrive late and out of order, so a state of
// an earlier incarnation, or of the same incarnation without a higher Seq, is ignored unless the member is gone. The
// state of a member that is gone is always accepted, because its incarnation may restart at a lower number if it lost
// its files.
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

// hasCompleteListsOf reports whether the complete lists of a truncated state are already stored.
func (m Member) hasCompleteListsOf(state MemberState) bool {
	return state.Incarnation == m.Incarnation && state.CompleteListsDigest != 0 && state.CompleteListsDigest == m.completeDigest
}

// isCompletedBy reports whether a state contains the complete lists of the member's newest, truncated state.
func (m Member) isCompletedBy(state MemberState) bool {
	return state.Incarnation == m.Incarnation && state.CompleteListsDigest == 0 &&
		m.IsPartial() && state.listsDigest() == m.CompleteListsDigest
}

// isAtLeastAsNewAs reports whether the stored state is at least as new as another state of the same member.
func (m Member) isAtLeastAsNewAs(state MemberState) bool {
	return state.Incarnation < m.Incarnation || state.Incarnation == m.Incarnation && state.Seq <= m.Seq
}

// addCompleteLists stores the complete lists of a state with the member's newest state. If this exceeds
// maxCompleteLists, it drops the complete lists that were added first.
func (t *memberTable) addCompleteLists(member Member, state MemberState) {
	member.Drains, member.Evacuations, member.completeDigest = state.Drains, state.Evacuations, member.CompleteListsDigest
	t.members[member.Name] = member
	t.withCompleteLists = slices.DeleteFunc(t.withCompleteLists, func(name string) bool { return name == member.Name })
	t.withCompleteLists = append(t.withCompleteLists, member.Name)
	if len(t.withCompleteLists) <= maxCompleteLists {
		return
	}
	if first, isKnown := t.members[t.withCompleteLists[0]]; isKnown && first.completeDigest != 0 {
		first.Drains, first.Evacuations, first.completeDigest = nil, nil, 0
		t.members[t.withCompleteLists[0]] = first
	}
	t.withCompleteLists = t.withCompleteLists[1:]
}

// evictLongestGone removes the member that has been gone for the longest time and reports whether there was one.
func (t *memberTable) evictLongestGone(now time.Time) bool {
	longestGone := ""
	for name, member := range t.members {
		if member.IsGone(now) && (longestGone == "" || member.LastSeen.Before(t.members[longestGone].LastSeen)) {
			longestGone = name
		}
	}
	delete(t.members, longestGone)
	return longestGone != ""
}

// remove deletes a member that has left.
func (t *memberTable) remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, name)
}

// list deletes the members that have been silent for longer than forgetTimeout and returns the others sorted by name.
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
