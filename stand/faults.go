package stand

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cespare/xxhash/v2"
)

// ServerFaults are the faults of a Server, set together. Shares are between 0 and 1 and are
// drawn for each request from the seed.
type ServerFaults struct {
	// Shed is the share of requests refused as not run.
	Shed float64 `json:"Shed,omitempty"`
	// ShedCold makes a cold server refuse what it does not bear, instead of falling over.
	ShedCold bool `json:"ShedCold,omitempty"`
	// Hang is the share of requests that run and never answer, whatever their deadline is.
	Hang float64 `json:"Hang,omitempty"`
	// Slow multiplies the latency; 0 means 1.
	Slow float64 `json:"Slow,omitempty"`
	// CrashMark crashes the server that runs a query or order body with this text in it.
	CrashMark string `json:"CrashMark,omitempty"`
	// ClockAhead is how far the server's clock is ahead when it judges deadlines.
	ClockAhead wire.Duration `json:"ClockAhead,omitempty"`
	// SaysWarm makes answers and reports claim that a cold server is warm.
	SaysWarm bool `json:"SaysWarm,omitempty"`
	// ReportDelay is how far the health and load endpoints lag behind.
	ReportDelay wire.Duration `json:"ReportDelay,omitempty"`
	// Report replaces what the health and load endpoints report.
	Report *wire.Health `json:"Report,omitempty"`
	// WrongRequest, WrongVersion and Truncate are the shares of answers with another request id,
	// with another index version, and cut off.
	WrongRequest float64 `json:"WrongRequest,omitempty"`
	WrongVersion float64 `json:"WrongVersion,omitempty"`
	Truncate     float64 `json:"Truncate,omitempty"`
	// Duplicate is the share of answers that arrive a second time, as the answer to the next
	// request on the connection. Later answers on that connection are then one late.
	Duplicate float64 `json:"Duplicate,omitempty"`
	// SilentAfter makes each connection silent for good after this many answers; 0 means never.
	SilentAfter int `json:"SilentAfter,omitempty"`
	// Unreachable makes all connections silent, new ones as well.
	Unreachable bool `json:"Unreachable,omitempty"`
}

// Latency is the distribution of the time that a warm server takes for a request: log-normal
// with stragglers.
type Latency struct {
	// Median is the median; 0 means 2 ms.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 means 0.3, below 0 a constant.
	Sigma float64
	// StragglerShare is the share of requests that take StragglerFactor times as long or more;
	// 0 means 0.01, below 0 none.
	StragglerShare  float64
	StragglerFactor float64
}

func (l Latency) withDefaults() Latency {
	l.Median = cmp.Or(l.Median, 2*time.Millisecond)
	l.Sigma = max(0, cmp.Or(l.Sigma, 0.3))
	l.StragglerShare = max(0, cmp.Or(l.StragglerShare, 0.01))
	l.StragglerFactor = cmp.Or(l.StragglerFactor, 10)
	return l
}

// Draw returns the latency of one request.
func (l Latency) Draw(r *rand.Rand) time.Duration {
	d := float64(l.Median) * math.Exp(l.Sigma*r.NormFloat64())
	if r.Float64() < l.StragglerShare {
		d *= l.StragglerFactor * (1 + 0.25*r.ExpFloat64())
	}
	return time.Duration(d)
}

// drawer gives each request its own random source, so that what befalls a request does not
// depend on the order in which concurrent requests arrive.
type drawer struct {
	seed uint64
}

func (d drawer) request(j *job) *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, xxhash.Sum64String(j.id+"\x00"+j.shard+"\x00"+j.version+"\x00"+j.key)))
}

// drawnFaults are the faults and the latency that were drawn for one request.
type drawnFaults struct {
	latency      time.Duration
	shed         bool
	hang         bool
	crash        bool
	wrongRequest bool
	wrongVersion bool
	truncate     bool
	cutLength    bool
	duplicate    bool
}

// drawFaults draws all shares in a fixed order, so that one fault does not shift another.
func (s *Server) drawFaults(j *job, f ServerFaults) drawnFaults {
	r := s.draw.request(j)
	t := drawnFaults{latency: s.config.Latency.Draw(r)}
	t.shed = r.Float64() < f.Shed
	t.hang = r.Float64() < f.Hang
	t.wrongRequest = r.Float64() < f.WrongRequest
	t.wrongVersion = r.Float64() < f.WrongVersion
	t.truncate = r.Float64() < f.Truncate
	t.cutLength = r.Float64() < 0.5
	t.duplicate = r.Float64() < f.Duplicate
	t.crash = f.CrashMark != "" && strings.Contains(j.text, f.CrashMark)
	if f.Slow > 0 {
		t.latency = time.Duration(float64(t.latency) * f.Slow)
	}
	return t
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f ServerFaults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putIndexes(w http.ResponseWriter, r *http.Request) {
	var indexes []ServerIndex
	if !readJSON(w, r, &indexes) {
		return
	}
	s.SetIndexes(indexes)
	w.WriteHeader(http.StatusNoContent)
}
