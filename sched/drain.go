package sched

import "github.com/arbutusthread/arbutusthread/wire"

// Drain ends admission, for a planned hand-over of the lease: waiting requests are refused as not
// run and admitted ones go on to their end.
func (s *Slice) Drain() Actions {
	var out Actions
	s.draining = true
	for {
		j, ok := s.queue.Pop()
		if !ok {
			break
		}
		s.refuse(j, handingOver(), &out)
	}
	return out
}

// Resume admits requests again.
func (s *Slice) Resume() {
	s.draining = false
}

func handingOver() *wire.Failure {
	return wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "the lease is being handed over")
}
