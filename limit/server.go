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
	// jumpFactor is the ratio to the warm latency that counts as a jump. Latencies include the
	// network, so a cold server that is three times as slow shows less than that.
	jumpFactor = 1.8
	// jumpAnswers is the number of answers in a row above jumpFactor that make a server cold. A
	// single straggler must not.
	jumpAnswers = 3
	// warmFactor is the ratio to the warm latency up to which a window counts as warm.
	warmFactor = 1.5
	// windowAnswers is the number of answers from which the ramp decides on a step.
	windowAnswers = 8
	// plateau is the ratio of the latencies of two windows above which the latency counts as no
	// longer falling.
	plateau = 0.9
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
	window      int
	sum         time.Duration
	lastMean    time.Duration
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
	s.window, s.sum, s.lastMean = 0, 0, 0
	s.jumps = 0
	s.cause = cause
}

// Restarted records the incarnation that a health endpoint reports and tells whether it is another
// one than before. An empty incarnation tells nothing.
func (s *Server) Restarted(incarnation string) bool {
	if incarnation == "" || incarnation == s.incarnation {
		return false
	}
	known := s.incarnation != ""
	s.incarnation = incarnation
	return known
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
	if s.Cold() || s.baseline == 0 || float64(latency) < jumpFactor*float64(s.baseline) {
		s.jumps = 0
		return false
	}
	s.jumps++
	return s.jumps >= jumpAnswers
}

// ramp doubles the allowance after a window of answers that shows a warm server: at the warm
// latency, or, when none is known, at a latency that has stopped falling. A slow answer only makes
// its window fail, so one straggler does not undo the ramp.
func (s *Server) ramp(latency time.Duration) {
	if !s.Cold() {
		s.learn(latency)
		return
	}
	s.window++
	s.sum += latency
	if s.window < windowAnswers {
		return
	}
	mean := s.sum / windowAnswers
	last := s.lastMean
	s.window, s.sum, s.lastMean = 0, 0, mean
	if !s.warmed(mean, last) {
		return
	}
	if s.baseline == 0 {
		s.baseline = mean
	}
	s.allowance = min(2*s.allowance, s.config.Slots)
}

func (s *Server) warmed(mean, last time.Duration) bool {
	if s.baseline != 0 {
		return float64(mean) <= warmFactor*float64(s.baseline)
	}
	return last != 0 && float64(mean) > plateau*float64(last)
}

// learn keeps the latency of a warm server. Outliers are left out, so that stragglers do not
// raise it until a cold server looks warm.
func (s *Server) learn(latency time.Duration) {
	if s.baseline == 0 {
		s.baseline = latency
		return
	}
	if float64(latency) < jumpFactor*float64(s.baseline) {
		s.baseline += time.Duration(baselineWeight * float64(latency-s.baseline))
	}
}
