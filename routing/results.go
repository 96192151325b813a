package routing

import (
	"container/list"
	"time"

	"hollylever/siblings"
	"hollylever/transport"
)

const (
	// resultRetention is how long the result of a request with an effect is kept once it is known, and for how long other
	// processes know of the request from when it began: clients send it again under the same ID after they have given up.
	resultRetention = 30 * time.Second
	// resultPollInterval is how often the result of a request that another process runs is looked for.
	resultPollInterval = 2 * time.Millisecond

	memoryPerResult = 512 // bytes that a result takes without its answer
	// resultMemoryDivisor sets the part of the memory for clients that results may take.
	resultMemoryDivisor = 16
	// minResults is how many results are kept however little memory there is.
	minResults = 1024
)

// resultStore keeps the results of requests with effects, so that one that comes again under its ID gets the same result
// and does not run twice. Balancer.mu guards it.
type resultStore struct {
	byDigest map[siblings.RequestDigest]*requestResult
	// Results that are known, the oldest first: with answers that clients have got, with others, and without an answer.
	delivered, undelivered, withoutAnswer list.List // of *requestResult
	bytes                                 int64     // of all three
	memory                                *transport.MemoryAccount
	shared                                *siblings.Results // nil: no other process of this balancer can run
}

// requestResult is the result of one request.
type requestResult struct {
	digest    siblings.RequestDigest
	content   siblings.RequestContent
	shared    siblings.ResultHandle
	owner     *resultOwner  // to whom the reply is owed; nil: nobody, or elsewhere
	list      *list.List    // of resultStore; nil: not known yet, or elsewhere
	element   *list.Element // in list
	done      chan struct{} // closed once the fields below are set
	state     siblings.ResultState
	answer    []byte // as the client gets it
	expiresAt time.Time

	isElsewhere     bool                 // another process runs it, or has run it
	clientElsewhere siblings.ClientState // of its client there, when it was found
	begunElsewhere  time.Time            // before any of its attempts there
	window          *repeatWindow        // of its attempts; nil: none
	windowBase      int                  // number of its first attempt in the window
}

// maxAttemptsInWindow separates the attempts of two requests that share a repeat window.
const maxAttemptsInWindow = 1 << 16

// find returns the result of a request that has begun before, which may not be known yet, or nil.
func (s *resultStore) find(digest siblings.RequestDigest) *requestResult {
	s.expire(time.Now())
	if earlier := s.byDigest[digest]; earlier != nil || s.shared == nil {
		return earlier
	}
	if shared := s.shared.Find(digest); shared.State != siblings.ResultNone {
		return resultElsewhere(digest, shared)
	}
	return nil
}

// isIDInUse reports whether another process has an open request of the ID that is not the same request. It is false for requests
// without an effect, which have no identity.
func (s *resultStore) isIDInUse(request siblings.RequestIdentity) bool {
	return s.shared != nil && request.ID != (siblings.RequestDigest{}) && s.shared.IsIDInUse(request)
}

// begin records that a request begins for which find has returned nothing, or a result after which it may run again. If
// another process begins it at the same time, begin returns its result there.
func (s *resultStore) begin(request siblings.RequestIdentity, window *repeatWindow, repeated *requestResult) (own, earlier *requestResult) {
	own = &requestResult{digest: request.Digest, content: request.Content, done: make(chan struct{}), window: window}
	switch {
	case repeated != nil && repeated.window != nil:
		own.window, own.windowBase = repeated.window, repeated.windowBase+maxAttemptsInWindow
		s.forget(repeated)
	case repeated != nil && repeated.isElsewhere:
		window.admitElsewhere(repeated.begunElsewhere)
	case s.shared != nil && repeated == nil:
		handle, shared := s.shared.Begin(request, resultRetention)
		if shared.State != siblings.ResultNone {
			return nil, resultElsewhere(request.Digest, shared)
		}
		own.shared = handle
	}
	s.byDigest[request.Digest] = own
	return own, nil
}

// resultElsewhere returns the result of a request that another process has begun.
func resultElsewhere(digest siblings.RequestDigest, shared siblings.SharedResult) *requestResult {
	result := &requestResult{digest: digest, content: shared.Content, done: make(chan struct{}), state: shared.State, answer: shared.Answer,
		isElsewhere: true, clientElsewhere: shared.Client, begunElsewhere: time.Now().Add(shared.ExpiresIn - resultRetention)}
	if shared.State != siblings.ResultOpen && shared.State != siblings.ResultClaimed {
		close(result.done)
	}
	return result
}

// resolve sets a request's result, unless it is set. A request that has not run is forgotten.
func (s *resultStore) resolve(result *requestResult, state siblings.ResultState, answer []byte) {
	if result == nil || result.isDone() {
		return
	}
	result.state, result.answer, result.expiresAt = state, answer, time.Now().Add(resultRetention)
	result.shared.Resolve(state, answer)
	close(result.done)
	if state == siblings.ResultNone {
		delete(s.byDigest, result.digest)
		return
	}
	s.add(result.size())
	if state == siblings.ResultAnswer {
		s.move(result, &s.undelivered)
	} else {
		s.move(result, &s.withoutAnswer)
	}
	s.limitMemory()
}

// recordDelivery records that a client has got the reply.
func (s *resultStore) recordDelivery(result *requestResult) {
	if result == nil || result.list != &s.undelivered {
		return
	}
	s.move(result, &s.delivered)
}

// limitMemory drops results beyond the memory that they may take: answers that clients have got, then the oldest results, and
// as a last resort answers that no client has got.
func (s *resultStore) limitMemory() {
	if s.memory == nil {
		return
	}
	for s.bytes > s.memory.Limit()/resultMemoryDivisor {
		switch {
		case s.delivered.Len() > 0:
			s.dropAnswer(first(&s.delivered))
		case len(s.byDigest) > minResults && s.withoutAnswer.Len() > 0:
			s.forget(first(&s.withoutAnswer))
		case s.undelivered.Len() > 0:
			s.dropAnswer(first(&s.undelivered))
		default:
			return
		}
	}
}

// first returns the oldest result in a list that is not empty.
func first(results *list.List) *requestResult { return results.Front().Value.(*requestResult) }

// dropAnswer keeps of a result only that the request may have run.
func (s *resultStore) dropAnswer(result *requestResult) {
	s.add(-result.size())
	result.state, result.answer = siblings.ResultUnknown, nil
	s.add(result.size())
	s.move(result, &s.withoutAnswer)
}

// move puts a result that is known at the end of a list.
func (s *resultStore) move(result *requestResult, to *list.List) {
	if result.list != nil {
		result.list.Remove(result.element)
	}
	result.list, result.element = to, to.PushBack(result)
}

// expire forgets the results whose time is over.
func (s *resultStore) expire(now time.Time) {
	for _, results := range []*list.List{&s.delivered, &s.undelivered, &s.withoutAnswer} {
		for results.Len() > 0 && !now.Before(first(results).expiresAt) {
			s.forget(first(results))
		}
	}
}

// forget removes a result that is known.
func (s *resultStore) forget(result *requestResult) {
	if result.list == nil {
		return // Another process has it.
	}
	result.list.Remove(result.element)
	delete(s.byDigest, result.digest)
	s.add(-result.size())
}

// add counts memory.
func (s *resultStore) add(bytes int64) {
	s.bytes += bytes
	s.memory.Add(bytes)
}

func (r *requestResult) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *requestResult) size() int64 { return memoryPerResult + int64(len(r.answer)) }
