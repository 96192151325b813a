package siblings

import (
	"os"
	"strings"
	"sync"
	"testing"
	"time"
	"unsafe"
)

// openResults joins a balancer's processes with results.
func openResults(t *testing.T, directory string) (*Group, *Results) {
	t.Helper()
	g := join(t, directory)
	r, err := g.OpenResults()
	if err != nil {
		t.Fatal(err)
	}
	return g, r
}

// longRetention is one that no test reaches.
const longRetention = time.Hour

var testContent = RequestContent{7, 8}

// identity returns a request of a digest, with an ID of its own that is in another bucket.
func identity(digest RequestDigest) RequestIdentity {
	return RequestIdentity{Digest: digest, ID: RequestDigest{digest[0] + 1, digest[1] ^ 1<<63}, Content: testContent}
}

// expectResult fails the test if a process does not know this of a request.
func (r *Results) expectResult(t *testing.T, digest RequestDigest, wantState ResultState, wantAnswer string) {
	t.Helper()
	if got := r.Find(digest); got.State != wantState || string(got.Answer) != wantAnswer {
		t.Errorf("request %v: state %d, answer %q; want %d, %q", digest, got.State, got.Answer, wantState, wantAnswer)
	}
}

// A request that comes again at another process must not run there, whatever became of it and of its process.
func TestOtherProcessKnowsResult(t *testing.T) {
	directory := t.TempDir()
	old, oldResults := openResults(t, directory)
	young, youngResults := openResults(t, directory)
	update := func(g *Group) {
		t.Helper()
		if _, _, _, err := g.Update(Resources{}, 0); err != nil {
			t.Fatal(err)
		}
	}
	update(old)
	update(young)
	answered, failed, notRun, open, long := RequestDigest{1, 1}, RequestDigest{2, 1}, RequestDigest{3, 1}, RequestDigest{4, 1}, RequestDigest{5, 1}
	handles := map[RequestDigest]ResultHandle{}
	for _, digest := range []RequestDigest{answered, failed, notRun, open, long} {
		youngResults.expectResult(t, digest, ResultNone, "")
		handle, earlier := oldResults.Begin(identity(digest), longRetention)
		if earlier.State != ResultNone {
			t.Fatalf("request %v has state %d before it begins", digest, earlier.State)
		}
		handles[digest] = handle
		youngResults.expectResult(t, digest, ResultOpen, "")
		if _, earlier := youngResults.Begin(identity(digest), longRetention); earlier.State != ResultOpen {
			t.Errorf("request %v begins at the other process, state %d", digest, earlier.State)
		}
	}
	handles[answered].Resolve(ResultAnswer, []byte("$1\r\nv\r\n"))
	handles[failed].Resolve(ResultUnknown, nil)
	handles[notRun].Resolve(ResultNone, nil)
	handles[long].Resolve(ResultAnswer, []byte(strings.Repeat("v", MaxSharedAnswer+1)))
	youngResults.expectResult(t, answered, ResultAnswer, "$1\r\nv\r\n")
	youngResults.expectResult(t, failed, ResultUnknown, "")
	youngResults.expectResult(t, notRun, ResultNone, "")
	youngResults.expectResult(t, long, ResultUnknown, "")
	old.Close()
	update(young)
	youngResults.expectResult(t, open, ResultUnknown, "")

	successor, successorResults := openResults(t, directory) // In the slot of the one that has ended.
	update(successor)
	successorResults.expectResult(t, answered, ResultAnswer, "$1\r\nv\r\n")
	successorResults.expectResult(t, open, ResultUnknown, "")
	if _, earlier := successorResults.Begin(identity(notRun), 0); earlier.State != ResultNone {
		t.Errorf("a request that has not run does not begin: state %d", earlier.State)
	}
	youngResults.expectResult(t, notRun, ResultNone, "") // It has expired.
}

// The same request comes at two processes at the same time: one of them begins it.
func TestRequestBeginsAtOneProcess(t *testing.T) {
	directory := t.TempDir()
	var processes []*Results
	for range 2 {
		_, r := openResults(t, directory)
		processes = append(processes, r)
	}
	for _, r := range processes {
		if _, _, _, err := r.group.Update(Resources{}, 0); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 2000 {
		digest := RequestDigest{uint64(n), 1}
		var begun [2]bool
		var all sync.WaitGroup
		for i, r := range processes {
			all.Go(func() {
				_, earlier := r.Begin(identity(digest), longRetention)
				begun[i] = earlier.State == ResultNone
			})
		}
		all.Wait()
		if begun[0] == begun[1] {
			t.Fatalf("request %d begins at both processes or at none: %v", n, begun)
		}
	}
}

// In a full bucket the request that expires first makes room, and what is resolved later does not overwrite another's record.
func TestFullBucketReplacesWhatExpiresFirst(t *testing.T) {
	_, r := openResults(t, t.TempDir())
	var first ResultHandle
	for n := range resultsPerBucket + 1 {
		handle, _ := r.Begin(identity(RequestDigest{resultBuckets * uint64(n), 1}), longRetention+time.Duration(n)*time.Second)
		if n == 0 {
			first = handle
		}
	}
	first.Resolve(ResultAnswer, []byte("late"))
	r.expectResult(t, RequestDigest{0, 1}, ResultNone, "")
	for n := 1; n <= resultsPerBucket; n++ {
		r.expectResult(t, RequestDigest{resultBuckets * uint64(n), 1}, ResultOpen, "")
	}
}

// A file of another size is of another version, or damaged: its process's results are not known, and nothing fails.
func TestResultsOfAnotherSizeAreIgnored(t *testing.T) {
	directory := t.TempDir()
	g, r := openResults(t, directory)
	if err := os.WriteFile(g.resultPath(g.slot+1), []byte("short"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.findOthers()
	r.expectResult(t, RequestDigest{1, 1}, ResultNone, "")
}

// Another process tells whether the client of a request still waits: one that comes again after that client has left gets the
// result, one beside it does not. The clients of a process that has ended have lost their connections.
func TestOtherProcessKnowsClientState(t *testing.T) {
	directory := t.TempDir()
	old, oldResults := openResults(t, directory)
	young, youngResults := openResults(t, directory)
	update := func() {
		t.Helper()
		if _, _, _, err := young.Update(Resources{}, 0); err != nil {
			t.Fatal(err)
		}
	}
	update()
	digest := RequestDigest{1, 1}
	handle, _ := oldResults.Begin(identity(digest), longRetention)
	expect := func(want ClientState) {
		t.Helper()
		if got := youngResults.Find(digest); got.Client != want || got.Content != testContent {
			t.Errorf("client %d of content %v, want %d of %v", got.Client, got.Content, want, testContent)
		}
	}
	expect(ClientWaits)
	handle.SetClient(ClientUnknown)
	expect(ClientUnknown)
	handle.SetClient(ClientWaits)
	handle.Resolve(ResultAnswer, []byte(strings.Repeat("v", MaxSharedAnswer)))
	expect(ClientWaits)
	handle.SetClient(ClientReplied)
	expect(ClientReplied)
	handle.SetClient(ClientWaits)
	old.Close()
	update()
	expect(ClientUnknown)
}

// A process of an earlier version recorded an answer that reaches over what now follows it: it must not be taken for a whole one.
func TestLongerAnswerOfEarlierVersionIsNotKnown(t *testing.T) {
	_, r := openResults(t, t.TempDir())
	digest := RequestDigest{1, 1}
	handle, _ := r.Begin(identity(digest), longRetention)
	handle.request.record.length.Store(MaxSharedAnswer + 1)
	handle.request.setState(ResultAnswer)
	r.expectResult(t, digest, ResultUnknown, "")
}

// The size of the file is the same in all versions: a file of another size is ignored, and what its process runs would run
// twice.
func TestSizeOfRecordsStaysTheSame(t *testing.T) {
	if size := unsafe.Sizeof(resultRecord{}); size != 512 {
		t.Errorf("a record has %d bytes, want 512", size)
	}
}

// A request of another kind has the ID of one that is open at another process: that process tells, until the request has its
// result and its client has that or has left.
func TestOtherProcessKnowsOpenIDs(t *testing.T) {
	directory := t.TempDir()
	old, oldResults := openResults(t, directory)
	young, youngResults := openResults(t, directory)
	for _, g := range []*Group{old, young} {
		if _, _, _, err := g.Update(Resources{}, 0); err != nil {
			t.Fatal(err)
		}
	}
	first := identity(RequestDigest{1, 1})
	other := RequestIdentity{Digest: RequestDigest{2, 1}, ID: first.ID, Content: RequestContent{9, 9}}
	expect := func(want bool, when string) {
		t.Helper()
		if got := youngResults.IsIDInUse(other); got != want || youngResults.IsIDInUse(first) {
			t.Errorf("%s: the ID is in use for another request: %v, want %v; for the same: %v, want false", when, got, want, youngResults.IsIDInUse(first))
		}
	}
	expect(false, "before")
	handle, _ := oldResults.Begin(first, longRetention)
	expect(true, "open")
	handle.SetClient(ClientUnknown)
	expect(true, "its client has left")
	handle.Resolve(ResultAnswer, []byte("v"))
	expect(false, "it has its result")
}
