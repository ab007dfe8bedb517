package limit

import (
	"time"
)

// ColdCause is the reason why a server is treated as cold.
type ColdCause string

// Reasons for treating a server as cold.
const (
	ColdFirstContact   ColdCause = "first contact"
	ColdNewIncarnation ColdCause = "new incarnation"
	ColdReported       ColdCause = "server reported cold"
	ColdLatency        ColdCause = "latency jump"
	ColdConnection     ColdCause = "connection refused or reset"
	ColdDomainReturn   ColdCause = "failure domain returned"
)

const (
	// slowRatio is the ratio to the baseline latency from which a response counts as slow. Latencies
	// include the network, so a server that is three times slower while cold shows a smaller ratio.
	slowRatio = 1.8
	// decreaseFactor divides the concurrency limit on each slow response from a server that reports
	// itself warm. A single straggler costs one step; a server that has become cold reaches ColdSlots
	// after a few responses.
	decreaseFactor = 2
	// warmRatio is the largest ratio to the baseline latency at which a response raises the concurrency
	// limit. At 1.5 the limit of a server that was still cold rose too early.
	warmRatio = 1.25
	// baselineWindow is the number of responses whose mean latency is a candidate for the baseline. With
	// fewer, noise in the means of two windows hides that the latency is still falling.
	baselineWindow = 16
	// plateauRatio is the ratio of the mean latencies of two consecutive windows above which the latency
	// counts as no longer falling.
	plateauRatio = 0.9
	// baselineWeight is the weight of a new sample in the moving average of the baseline latency.
	baselineWeight = 0.05
)

// ServerConfig holds the limits of one backend server.
type ServerConfig struct {
	// Slots is the maximum number of concurrent requests of a warm server.
	Slots int
	// ColdSlots is the maximum number of concurrent requests at the beginning of a cold start.
	ColdSlots int
	// Warmup is shared by the servers of a slice; nil disables warm-up estimates from earlier cold
	// starts.
	Warmup *WarmupHistory
	// LimitOverride, if set, returns the concurrency limit to use instead of slow start. It is used
	// for baseline measurements.
	LimitOverride func() int
}

// Sample is the observation from one response of a server.
type Sample struct {
	Latency     time.Duration
	Incarnation string
	// Warm is the state that the server reports. A false value lowers the concurrency limit; a true
	// value alone never raises it.
	Warm bool
}

// Server tracks the concurrency limit and the permits in use of one backend server. It starts cold,
// because a new lease holder has no observations of the server.
type Server struct {
	config       ServerConfig
	limit        int
	inUse        int
	windowCount  int
	windowSum    time.Duration
	previousMean time.Duration
	incarnation  string
	baseline     time.Duration
	cause        ColdCause
	// coldPhase counts the responses that reported cold since the server was last marked cold.
	coldPhase coldPhase
	// reportedWarmup means that responses reported cold before they reported warm.
	reportedWarmup bool
}

// NewServer returns a cold server without permits in use.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c}
	s.SetCold(ColdFirstContact)
	s.coldPhase.partial = false
	return s
}

// SetConfig changes the limits. A lowered limit applies from the next Acquire; permits in use are
// kept.
func (s *Server) SetConfig(c ServerConfig) {
	wasWarm := !s.Cold()
	s.config = c
	if wasWarm {
		s.limit = c.Slots
		return
	}
	s.limit = min(s.limit, c.Slots)
}

// Acquire takes a permit. It returns false if the concurrency limit is reached.
func (s *Server) Acquire() bool {
	if s.inUse >= s.Limit() {
		return false
	}
	s.inUse++
	return true
}

// Release returns a permit.
func (s *Server) Release() {
	if s.inUse > 0 {
		s.inUse--
	}
}

// InUse returns the number of permits in use.
func (s *Server) InUse() int {
	return s.inUse
}

// Limit returns the current concurrency limit in requests.
func (s *Server) Limit() int {
	if s.config.LimitOverride != nil {
		return s.config.LimitOverride()
	}
	return s.limit
}

// coldLimit returns the concurrency limit at the beginning of a cold start.
func (s *Server) coldLimit() int {
	return min(max(1, s.config.ColdSlots), s.config.Slots)
}

// Excess returns the number of requests in flight above the concurrency limit.
func (s *Server) Excess() int {
	return max(0, s.inUse-s.Limit())
}

// Cold reports whether the concurrency limit is below Slots.
func (s *Server) Cold() bool {
	return s.Limit() < s.config.Slots
}

// Cause returns the reason why the server was last treated as cold.
func (s *Server) Cause() ColdCause {
	return s.cause
}

// SetCold lowers the concurrency limit to that of a cold server and restarts slow start.
func (s *Server) SetCold(cause ColdCause) {
	s.limit = s.coldLimit()
	s.windowCount, s.windowSum, s.previousMean = 0, 0, 0
	// On first contact, for example by a new lease holder, the earlier warm-up progress is unknown.
	partial := s.coldPhase.responses > 0 || s.coldPhase.partial || cause == ColdFirstContact
	s.coldPhase = coldPhase{partial: partial && cause != ColdNewIncarnation}
	s.reportedWarmup = false
	s.cause = cause
}

// UpdateIncarnation records the incarnation reported by a health endpoint and reports whether it
// differs from a previously known one. An empty incarnation is ignored.
func (s *Server) UpdateIncarnation(incarnation string) bool {
	if incarnation == "" || incarnation == s.incarnation {
		return false
	}
	known := s.incarnation != ""
	s.incarnation = incarnation
	return known
}

// Observe records a response and reports whether it shows that the server became cold: by a new
// incarnation, by the first cold report of a warm server, or by a slow response that lowered the limit.
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
	s.endColdPhase()
	if s.Slow(v.Latency) {
		return s.Reduce()
	}
	s.ramp(v.Latency)
	return false
}

// observeCold records a response that reports cold. The first one resets the concurrency limit; later
// ones raise it in proportion to the warm-up progress estimated from earlier cold starts or latency.
func (s *Server) observeCold(latency time.Duration) bool {
	if s.coldPhase.responses == 0 {
		turned := !s.Cold()
		s.SetCold(ColdReported)
		s.coldPhase.add(latency)
		return turned
	}
	s.coldPhase.add(latency)
	increase := float64(s.config.Slots-s.coldLimit()) * s.coldPhase.progress(s.config.Warmup, s.baseline)
	s.limit = max(s.limit, min(s.coldLimit()+int(increase), s.config.Slots-1))
	return false
}

// endColdPhase ends the cold phase at the first response that reports warm.
func (s *Server) endColdPhase() {
	if s.coldPhase.responses == 0 {
		s.coldPhase.partial = false
		return
	}
	if s.config.Warmup != nil && !s.coldPhase.partial {
		// The requests behind this warm response and those still in flight contributed to the warm-up
		// too. Without them, a count of 14 was recorded for a server that needs 16, and the next cold
		// server was overloaded.
		s.config.Warmup.record(s.coldPhase.responses + 1 + s.inUse)
	}
	s.coldPhase = coldPhase{}
	s.reportedWarmup = true
}

// Slow reports whether the latency is at least slowRatio times the baseline. It returns false while
// there is no baseline.
func (s *Server) Slow(latency time.Duration) bool {
	return s.baseline != 0 && float64(latency) >= slowRatio*float64(s.baseline)
}

// Reduced returns limit after one multiplicative decrease, which does not go below the cold limit.
func (s *Server) Reduced(limit int) int {
	return min(limit, max(limit/decreaseFactor, s.coldLimit()))
}

// Reduce lowers the concurrency limit by one step after a slow request and reports whether the limit
// changed.
func (s *Server) Reduce() bool {
	s.windowCount, s.windowSum, s.previousMean = 0, 0, 0
	reduced := s.Reduced(s.limit)
	if reduced == s.limit {
		return false
	}
	s.limit = reduced
	s.cause = ColdLatency
	return true
}

// ramp processes the latency of a warm response that is not slow. It raises the concurrency limit of a
// cold server by one if the latency is within warmRatio of the baseline; otherwise it establishes or
// updates the baseline as needed.
func (s *Server) ramp(latency time.Duration) {
	switch {
	case !s.Cold():
		s.updateBaseline(latency)
	case s.baseline == 0:
		s.establishBaseline(latency)
	case float64(latency) <= warmRatio*float64(s.baseline):
		s.limit = min(s.limit+1, s.config.Slots)
	}
}

// establishBaseline sets the baseline to the mean latency of the first window in which the latency has
// stopped falling. A server that first reported cold and now reports warm needs only initialWindow
// responses.
func (s *Server) establishBaseline(latency time.Duration) {
	s.windowCount++
	s.windowSum += latency
	if s.windowCount < baselineWindow && (!s.reportedWarmup || s.windowCount < initialWindow) {
		return
	}
	mean := s.windowSum / time.Duration(s.windowCount)
	previous := s.previousMean
	s.windowCount, s.windowSum, s.previousMean = 0, 0, mean
	if s.reportedWarmup || (previous != 0 && float64(mean) > plateauRatio*float64(previous)) {
		s.baseline = mean
	}
}

// updateBaseline adds the latency of a warm server to the baseline. It ignores slow outliers, because
// stragglers could otherwise raise the baseline until a cold server appears warm.
func (s *Server) updateBaseline(latency time.Duration) {
	if s.baseline == 0 {
		s.baseline = latency
		return
	}
	if float64(latency) < slowRatio*float64(s.baseline) {
		s.baseline += time.Duration(baselineWeight * float64(latency-s.baseline))
	}
}
