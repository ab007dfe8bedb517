package limit

import (
	"time"
)

// ColdCause is why a server is treated as cold.
type ColdCause string

// Causes of treating a server as cold.
const (
	ColdFirstContact   ColdCause = "first contact"
	ColdNewIncarnation ColdCause = "new incarnation"
	ColdSaid           ColdCause = "answer says cold"
	ColdLatency        ColdCause = "latency jump"
	ColdConnection     ColdCause = "connection refused or reset"
	ColdDomainReturn   ColdCause = "failure domain returned"
)

const (
	// jumpFactor is the ratio to the warm latency that counts as a jump.
	jumpFactor = 4
	// jumpAnswers is the number of answers in a row above jumpFactor that make a server cold. A
	// single straggler must not.
	jumpAnswers = 3
	// warmFactor is the ratio to the warm latency up to which an answer counts toward the ramp.
	warmFactor = 2
	// answersPerStep is the number of clean answers, for each request of the allowance, before
	// the allowance doubles.
	answersPerStep = 2
	// baselineWeight is the weight of a new sample in the warm latency.
	baselineWeight = 0.05
)

// ServerConfig holds the limits of one backend server.
type ServerConfig struct {
	// Slots is the number of requests that a warm server runs at once.
	Slots int
	// ColdSlots is the number of requests that it bears in a cold start.
	ColdSlots int
}

// Sample is what one answer tells about a server.
type Sample struct {
	Latency     time.Duration
	Incarnation string
	// Warm is what the server says of itself. It can only lower the allowance.
	Warm bool
}

// Server holds the permits of one backend server. It starts cold, because a new holder of the
// permits knows nothing of the server.
type Server struct {
	config      ServerConfig
	allowance   int
	inUse       int
	clean       int
	jumps       int
	incarnation string
	baseline    time.Duration
	cause       ColdCause
}

// NewServer returns a cold server with no permit in use.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c}
	s.SetCold(ColdFirstContact)
	return s
}

// SetConfig changes the limits. A lower limit takes effect for the next permit.
func (s *Server) SetConfig(c ServerConfig) {
	wasWarm := !s.Cold()
	s.config = c
	if wasWarm {
		s.allowance = c.Slots
		return
	}
	s.allowance = min(s.allowance, c.Slots)
}

// Acquire takes a permit. It returns false when the allowance is used up.
func (s *Server) Acquire() bool {
	if s.inUse >= s.allowance {
		return false
	}
	s.inUse++
	return true
}

// Release gives a permit back.
func (s *Server) Release() {
	if s.inUse > 0 {
		s.inUse--
	}
}

// InUse returns the number of permits in use.
func (s *Server) InUse() int {
	return s.inUse
}

// Allowance returns the number of requests that the server may run at once now.
func (s *Server) Allowance() int {
	return s.allowance
}

// Excess returns the number of requests in flight above the allowance.
func (s *Server) Excess() int {
	return max(0, s.inUse-s.allowance)
}

// Cold reports whether the allowance is below the server's slots.
func (s *Server) Cold() bool {
	return s.allowance < s.config.Slots
}

// Cause returns why the server was last treated as cold.
func (s *Server) Cause() ColdCause {
	return s.cause
}

// SetCold lowers the allowance to what a cold server bears.
func (s *Server) SetCold(cause ColdCause) {
	s.allowance = min(max(1, s.config.ColdSlots), s.config.Slots)
	s.clean = 0
	s.jumps = 0
	s.cause = cause
}

// Observe includes an answer and reports whether it shows that the server has turned cold.
func (s *Server) Observe(v Sample) bool {
	known := s.incarnation
	s.incarnation = v.Incarnation
	if known != "" && v.Incarnation != known {
		s.SetCold(ColdNewIncarnation)
		return true
	}
	if !v.Warm {
		turned := !s.Cold()
		s.SetCold(ColdSaid)
		return turned
	}
	if s.jumped(v.Latency) {
		s.SetCold(ColdLatency)
		return true
	}
	s.ramp(v.Latency)
	return false
}

func (s *Server) jumped(latency time.Duration) bool {
	if s.Cold() || s.baseline == 0 || latency < jumpFactor*s.baseline {
		s.jumps = 0
		return false
	}
	s.jumps++
	return s.jumps >= jumpAnswers
}

// ramp doubles the allowance after a window of answers at the warm latency. A slow answer only
// starts the window again, so one straggler does not undo the ramp.
func (s *Server) ramp(latency time.Duration) {
	if s.baseline != 0 && s.Cold() && latency > warmFactor*s.baseline {
		s.clean = 0
		return
	}
	s.learn(latency)
	if !s.Cold() {
		return
	}
	s.clean++
	if s.clean < answersPerStep*s.allowance {
		return
	}
	s.clean = 0
	s.allowance = min(2*s.allowance, s.config.Slots)
}

// learn keeps the latency of a warm server. Outliers are left out, so that stragglers do not
// raise it until a cold server looks warm.
func (s *Server) learn(latency time.Duration) {
	switch {
	case s.baseline == 0 || (s.Cold() && latency < s.baseline):
		s.baseline = latency
	case latency < jumpFactor*s.baseline:
		s.baseline += time.Duration(baselineWeight * float64(latency-s.baseline))
	}
}
