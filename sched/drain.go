package sched

import "github.com/arbutusthread/arbutusthread/wire"

// Drain stops admission before a planned handover of the lease. Queued requests are refused as not run;
// admitted requests continue until they finish.
func (s *Slice) Drain() Actions {
	var out Actions
	s.draining = true
	for {
		j, ok := s.queue.Pop()
		if !ok {
			break
		}
		s.refuse(j, handoverFailure(), &out)
	}
	return out
}

// Resume restarts admission after Drain.
func (s *Slice) Resume() {
	s.draining = false
}

func handoverFailure() *wire.Failure {
	return wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "lease handover in progress")
}
