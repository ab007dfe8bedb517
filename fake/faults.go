package fake

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

// ServerFaults holds all faults of a Server. Shares are probabilities between 0 and 1; each request
// draws its faults from a random source derived from the seed.
type ServerFaults struct {
	// Shed is the share of requests refused as not run.
	Shed float64 `json:"Shed,omitempty"`
	// ShedCold makes a cold server refuse requests above its concurrency limit instead of crashing.
	ShedCold bool `json:"ShedCold,omitempty"`
	// Hang is the share of requests that run and never get a response, even after their deadline.
	Hang float64 `json:"Hang,omitempty"`
	// Slow multiplies the latency; 0 means 1.
	Slow float64 `json:"Slow,omitempty"`
	// CrashMark crashes the server when it runs a query or order whose text or body contains this string.
	CrashMark string `json:"CrashMark,omitempty"`
	// ClockAhead is the time by which the server's clock is ahead when it checks deadlines.
	ClockAhead wire.Duration `json:"ClockAhead,omitempty"`
	// SaysWarm makes responses and health reports state that a cold server is warm.
	SaysWarm bool `json:"SaysWarm,omitempty"`
	// ReportDelay is the delay with which the health and load endpoints show the state of the server.
	ReportDelay wire.Duration `json:"ReportDelay,omitempty"`
	// Report replaces the response of the health and load endpoints.
	Report *wire.Health `json:"Report,omitempty"`
	// WrongRequest, WrongVersion and Truncate are the shares of responses with a different request ID
	// (for an order: a different key), with a different index version, and with a truncated body.
	WrongRequest float64 `json:"WrongRequest,omitempty"`
	WrongVersion float64 `json:"WrongVersion,omitempty"`
	Truncate     float64 `json:"Truncate,omitempty"`
	// Duplicate is the share of responses that are sent a second time, in response to the next request
	// on the connection. Later responses on that connection are then sent one request late.
	Duplicate float64 `json:"Duplicate,omitempty"`
	// SilentAfter makes each connection permanently silent after this number of responses; 0 means never.
	SilentAfter int `json:"SilentAfter,omitempty"`
	// Unreachable makes all connections silent, including new ones.
	Unreachable bool `json:"Unreachable,omitempty"`
}

// Latency is the latency distribution of a warm server: log-normal with stragglers.
type Latency struct {
	// Median is the median latency without stragglers; 0 means 2 ms.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 means 0.3, a negative value constant latency.
	Sigma float64
	// StragglerShare is the share of requests whose latency is multiplied by StragglerFactor or more;
	// 0 means 0.01, a negative value none.
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

// Sample returns a random latency for one request.
func (l Latency) Sample(r *rand.Rand) time.Duration {
	d := float64(l.Median) * math.Exp(l.Sigma*r.NormFloat64())
	if r.Float64() < l.StragglerShare {
		d *= l.StragglerFactor * (1 + 0.25*r.ExpFloat64())
	}
	return time.Duration(d)
}

// randSource derives a separate random source for each request, so that the faults of a request do not
// depend on the order in which concurrent requests arrive.
type randSource struct {
	seed uint64
}

func (d randSource) forRequest(j *job) *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, xxhash.Sum64String(j.id+"\x00"+j.shard+"\x00"+j.version+"\x00"+j.key)))
}

// requestFaults holds the faults and the latency drawn for one request.
type requestFaults struct {
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

// drawRequestFaults draws a random number for every share in a fixed order, so that setting one fault does
// not change which requests get another.
func (s *Server) drawRequestFaults(j *job, f ServerFaults) requestFaults {
	r := s.random.forRequest(j)
	t := requestFaults{latency: s.config.Latency.Sample(r)}
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
