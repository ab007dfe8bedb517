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
	// slowStep is the factor by which each slow answer lowers the allowance of a server that says
	// that it is warm. A straggler costs one step, a server that has turned cold reaches its
	// ColdSlots after a few answers.
	slowStep = 2
	// warmFactor is the ratio to the warm latency up to which an answer raises the allowance. At 1.5 a
	// server that is still cold raised it too early.
	warmFactor = 1.25
	// windowAnswers is the number of answers whose mean gives the warm latency. With fewer, the noise
	// of two windows hides that the latency is still falling.
	windowAnswers = 16
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
	// Warming is shared by the servers of a slice; nil means that nothing is learned.
	Warming *Warming
	// Known, when it is set, is what the server is known to bear now, and replaces the ramp. It is
	// for baselines.
	Known func() int
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
	incarnation string
	baseline    time.Duration
	cause       ColdCause
	// phase counts the answers that say cold since the server was last found cold.
	phase coldPhase
	// warmedUp means that the answers said cold before they said warm.
	warmedUp bool
}

// NewServer returns a cold server with no permit in use.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c}
	s.SetCold(ColdFirstContact)
	s.phase.partial = false
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
	if s.inUse >= s.Allowance() {
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
	if s.config.Known != nil {
		return s.config.Known()
	}
	return s.allowance
}

// floor is what the server bears in a cold start.
func (s *Server) floor() int {
	return min(max(1, s.config.ColdSlots), s.config.Slots)
}

// Excess returns the number of requests in flight above the allowance.
func (s *Server) Excess() int {
	return max(0, s.inUse-s.Allowance())
}

// Cold reports whether the allowance is below the server's slots.
func (s *Server) Cold() bool {
	return s.Allowance() < s.config.Slots
}

// Cause returns why the server was last treated as cold.
func (s *Server) Cause() ColdCause {
	return s.cause
}

// SetCold lowers the allowance to what a cold server bears.
func (s *Server) SetCold(cause ColdCause) {
	s.allowance = s.floor()
	s.window, s.sum, s.lastMean = 0, 0, 0
	// A holder of the permits that takes them over does not know how far the server has warmed up.
	partial := s.phase.answers > 0 || s.phase.partial || cause == ColdFirstContact
	s.phase = coldPhase{partial: partial && cause != ColdNewIncarnation}
	s.warmedUp = false
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
		return s.observeCold(v.Latency)
	}
	s.endPhase()
	if s.Slow(v.Latency) {
		return s.StepDown()
	}
	s.ramp(v.Latency)
	return false
}

// observeCold includes an answer that says cold. The first one drops the allowance; the following ones
// raise it as far as earlier cold starts show that the server has warmed up.
func (s *Server) observeCold(latency time.Duration) bool {
	if s.phase.answers == 0 {
		turned := !s.Cold()
		s.SetCold(ColdSaid)
		s.phase.add(latency)
		return turned
	}
	s.phase.add(latency)
	more := float64(s.config.Slots-s.floor()) * s.phase.progress(s.config.Warming, s.baseline)
	s.allowance = max(s.allowance, min(s.floor()+int(more), s.config.Slots-1))
	return false
}

// endPhase ends a cold phase at the first answer that says warm.
func (s *Server) endPhase() {
	if s.phase.answers == 0 {
		s.phase.partial = false
		return
	}
	if s.config.Warming != nil && !s.phase.partial {
		// The answer that says warm, and those that are under way, belong to requests that warmed the
		// server too. Without them, 14 were learned of a server that needs 16, and the next one got
		// more than it bore.
		s.config.Warming.learn(s.phase.answers + 1 + s.inUse)
	}
	s.phase = coldPhase{}
	s.warmedUp = true
}

// Slow reports whether a request that takes this long shows a slow server.
func (s *Server) Slow(latency time.Duration) bool {
	return s.baseline != 0 && float64(latency) >= jumpFactor*float64(s.baseline)
}

// Lower returns an allowance lowered by one step.
func (s *Server) Lower(allowance int) int {
	return min(allowance, max(allowance/slowStep, s.floor()))
}

// StepDown lowers the allowance after a slow request and reports whether it changed.
func (s *Server) StepDown() bool {
	s.window, s.sum, s.lastMean = 0, 0, 0
	lower := s.Lower(s.allowance)
	if lower == s.allowance {
		return false
	}
	s.allowance = lower
	s.cause = ColdLatency
	return true
}

// ramp raises the allowance by one after an answer at the warm latency.
func (s *Server) ramp(latency time.Duration) {
	switch {
	case !s.Cold():
		s.learn(latency)
	case s.baseline == 0:
		s.settle(latency)
	case float64(latency) <= warmFactor*float64(s.baseline):
		s.allowance = min(s.allowance+1, s.config.Slots)
	}
}

// settle takes the warm latency from the first window of answers whose latency has stopped falling. A
// server that said that it was cold, and now says that it is warm, needs only a few answers.
func (s *Server) settle(latency time.Duration) {
	s.window++
	s.sum += latency
	if s.window < windowAnswers && (!s.warmedUp || s.window < firstAnswers) {
		return
	}
	mean := s.sum / time.Duration(s.window)
	last := s.lastMean
	s.window, s.sum, s.lastMean = 0, 0, mean
	if s.warmedUp || (last != 0 && float64(mean) > plateau*float64(last)) {
		s.baseline = mean
	}
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
