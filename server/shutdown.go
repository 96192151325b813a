package server

import (
	"time"

	"hollylever/siblings"
)

// The platform sends SIGKILL killDelay after the longest deadline of a request, which counts as at most
// maxKillDeadline, both from the time at which it sent SIGTERM. The process may be held up by maxHoldUp at any time:
// also as the signal comes and as the last answers go out.
//
// From the time at which the process handles SIGTERM, with D the longest deadline:
//
//	0                     not ready any more; siblings are told; clients leave with their next answer
//	stragglerWindow       the last clients that were connecting have been accepted; idle connections to cache hosts are closed from here on
//	D + finalAnswerDelay  each request that was accepted has its final answer
//	... + cutTimeout      answers that are still being written are over; connections that remain are reset
//
// The last of these is D + 400 ms. With a hold-up at each end that is D + 700 ms after SIGTERM was sent: just before
// SIGKILL.
const (
	killDelay        = 700 * time.Millisecond
	maxKillDeadline  = 3 * time.Second
	maxHoldUp        = 150 * time.Millisecond
	finalAnswerDelay = killDelay - 2*maxHoldUp - cutTimeout

	stragglerWindow = 500 * time.Millisecond // clients go on connecting and asking for so long: not all know at once that it is not ready
	cutTimeout      = 50 * time.Millisecond  // for the last bytes of an answer to be written; a loopback or local network needs less
)

// shutdown answers what was accepted, closes what is open and returns in time for an exit before SIGKILL. hardStop is
// the longest deadline that a request can have. Clients that go on asking are rejected when there is no time left for
// an answer.
func (s *Server) shutdown(hardStop time.Duration) {
	s.balancer.SetReady(false)
	if s.siblings != nil {
		s.siblings.SetPhase(siblings.Draining)
	}
	startedAt := time.Now()
	answerBy := startedAt.Add(min(hardStop, maxKillDeadline) + finalAnswerDelay)
	closeBy := answerBy.Add(cutTimeout)
	s.beginDraining(answerBy, closeBy)
	time.Sleep(stragglerWindow)
	s.pool.CloseIdle()
	allAnswered, cutOff := s.closeClients(closeBy)
	s.logSummary()
	s.log.Info().Bool("all_answered", allAnswered).Int("cut_off", cutOff).Int64("took_ms", time.Since(startedAt).Milliseconds()).Msg("stopped")
}

// beginDraining has clients leave with their next answer, and every request answered by answerBy.
func (s *Server) beginDraining(answerBy, closeBy time.Time) {
	open, _ := s.balancer.OpenRequests()
	s.log.Info().Int("clients", s.listener.Count()).Int("open_requests", open).Int64("timeout_ms", time.Until(closeBy).Milliseconds()).Msg("stopping")
	s.balancer.ExpireAt(answerBy)
	s.listener.DrainConnections()
	if s.configuration.hasInheritedSocket() {
		s.listener.StopAccepting() // The other processes that hold the socket go on accepting.
	}
}

// closeClients waits until all clients have left, at most until closeBy, and resets the connections that remain: those
// of an answer that is still being streamed, or of a client that does not read.
func (s *Server) closeClients(closeBy time.Time) (allAnswered bool, cutOff int) {
	if s.listener.Close(latest(closeBy, time.Now().Add(cutTimeout))) {
		return true, 0
	}
	if open, ids := s.balancer.OpenRequests(); open > 0 {
		s.log.Warn().Int("open_requests", open).Strs("request_ids", ids).Msg("requests unanswered at shutdown")
	}
	return false, s.listener.ResetAll(cutTimeout)
}

// latest is the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
