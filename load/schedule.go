// Package load sends requests at a given rate, independently of the responses (open loop), and reports
// latency, outcomes, coverage and goodput for each kind of request as text, JSON and SVG.
//
// Latency is measured from the intended start of a request. It therefore includes the delay of a request
// that starts late because the generator or the system under test is slow, which avoids coordinated omission.
package load

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Arrivals is the distribution of the time between two requests.
type Arrivals string

// Arrival distributions.
const (
	// Poisson draws exponentially distributed intervals, as from many independent callers.
	Poisson Arrivals = "Poisson"
	// Constant uses equal intervals.
	Constant Arrivals = "Constant"
)

// DefaultMaxInFlight is the default maximum number of requests in flight.
const DefaultMaxInFlight = 20_000

// bucketsPerRun is the number of intervals of the timeline if Config.Bucket is 0.
const bucketsPerRun = 50

// Config holds the settings of a run.
type Config struct {
	// Title is the title of the reports.
	Title string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// Arrivals defaults to Poisson if it is empty.
	Arrivals Arrivals
	Kinds    []Kind
	Seed     uint64
	// MaxInFlight is the maximum number of requests in flight; 0 means DefaultMaxInFlight. Requests above
	// the limit start late, and the delay counts towards their latency.
	MaxInFlight int
	// Bucket is the length of an interval of the timeline; 0 means a fiftieth of Duration, but at least 1 ms.
	Bucket time.Duration
}

// Kind is a kind of request in the mix.
type Kind struct {
	Name string `json:"Name"`
	// Worth is the weight of the kind in WorthGoodput.
	Worth float64 `json:"Worth"`
	// Share is the weight of the kind in the mix. The shares need not add up to 1.
	Share float64 `json:"Share"`
}

// Check returns an error if the settings are invalid.
func (c Config) Check() error {
	switch {
	case c.Rate <= 0:
		return errors.Newf("load: Rate is %v, must be above 0", c.Rate)
	case c.Duration <= 0:
		return errors.Newf("load: Duration is %v, must be above 0", c.Duration)
	case c.Arrivals != "" && c.Arrivals != Poisson && c.Arrivals != Constant:
		return errors.Newf("load: Arrivals is %q, must be %s or %s", c.Arrivals, Poisson, Constant)
	case c.MaxInFlight < 0 || c.Bucket < 0:
		return errors.New("load: MaxInFlight and Bucket must not be below 0")
	case len(c.Kinds) == 0:
		return errors.New("load: Kinds is empty")
	}
	seen := map[string]bool{}
	total := 0.0
	for _, k := range c.Kinds {
		if k.Name == "" || seen[k.Name] || k.Share < 0 || k.Worth < 0 {
			return errors.Newf("load: kind %q must have a unique, non-empty name, and Share and Worth must not be below 0", k.Name)
		}
		seen[k.Name] = true
		total += k.Share
	}
	if total <= 0 {
		return errors.New("load: the kinds have no Share above 0")
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Arrivals == "" {
		c.Arrivals = Poisson
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Bucket == 0 {
		c.Bucket = max(time.Millisecond, c.Duration/bucketsPerRun)
	}
	return c
}

// Request is one request of the schedule.
type Request struct {
	// Number counts from 0.
	Number int
	Kind   Kind
	// At is the intended start, relative to the start of the run.
	At time.Duration
	// Random is a random number from which the query or the caller of the request can be derived.
	Random uint64
}

// Schedule returns the requests of a run in the order of their start. It is deterministic for a given c.
func Schedule(c Config) iter.Seq[Request] {
	c = c.withDefaults()
	return func(yield func(Request) bool) {
		r := rand.New(rand.NewPCG(c.Seed, 0))
		mean := float64(time.Second) / c.Rate
		at := 0.0
		for n := 0; ; n++ {
			if c.Arrivals == Poisson {
				at += mean * r.ExpFloat64()
			} else {
				at = mean * float64(n)
			}
			if time.Duration(at) >= c.Duration {
				return
			}
			q := Request{Number: n, Kind: pickKind(c.Kinds, r.Float64()), At: time.Duration(at), Random: r.Uint64()}
			if !yield(q) {
				return
			}
		}
	}
}

// pickKind returns the kind at the position u, between 0 and 1, in the cumulative shares of the kinds.
func pickKind(kinds []Kind, u float64) Kind {
	total := 0.0
	for _, k := range kinds {
		total += k.Share
	}
	u *= total
	for _, k := range kinds {
		if u < k.Share {
			return k
		}
		u -= k.Share
	}
	return kinds[len(kinds)-1]
}
