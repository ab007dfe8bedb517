package drill

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/gather"
)

// Kind is a stream of requests of one kind with Poisson arrivals.
type Kind struct {
	Name string
	// Rate is the mean number of requests per second from all callers at a load of 1.
	Rate float64
	// ServiceTime is the median service time of a warm server.
	ServiceTime time.Duration
	// SingleServer sends requests to one server of the ledger pool instead of all shards.
	SingleServer bool
	// AtMostOnce marks requests that are not idempotent.
	AtMostOnce bool
	// Target is the response-time objective, and Deadline the time after which the caller stops waiting.
	Target, Deadline time.Duration
	// Worth times the square of the coverage is the credit for an answer within the target. An answer
	// after the target gets LateShare of that.
	Worth, LateShare float64
	MinCoverage      float64
	Priority         int
}

// Model configures the simulated backend servers.
type Model struct {
	// Slots is the number of requests that run concurrently, and Queue the length of the queue. A server
	// sheds requests when its queue is full.
	Slots, Queue int
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// PauseEvery is the mean time between pauses of a server, and PauseFor their duration. PauseEvery 0
	// disables them.
	PauseEvery, PauseFor time.Duration
	// ColdFor is the duration of a cold start, which multiplies service times by ColdFactor. If ColdRate
	// is set, it is the rate in requests per second that a cold server sustains; the server crashes above
	// twice that rate.
	ColdFor    time.Duration
	ColdFactor float64
	ColdRate   float64
}

// Step is an action performed at a fixed time of a run.
type Step struct {
	At time.Duration
	Do func(*world)
}

// Case is a load pattern or fault and the servers that process the requests.
type Case struct {
	Name string
	// About describes the pattern and the mechanism that handles it.
	About string
	// Shards is the number of shards of a query. Each shard has one server in each of the first two
	// failure domains; the ledger pool has two in each.
	Shards int
	Model  Model
	Kinds  []Kind
	// Load returns the factor on the request rates at a time of the run; nil means 1.
	Load func(time.Duration) float64
	// ImpatientShare is the share of callers that repeat a failed request immediately, with up to three
	// more repetitions than other callers.
	ImpatientShare float64
	Duration       time.Duration
	Script         []Step
	Budget         gather.BudgetConfig
}

// FindCase returns the case with the given name, or an error that lists the known names.
func FindCase(name string) (Case, error) {
	for _, c := range Cases() {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, errors.Newf("drill: unknown case %q, known are %v", name, CaseNames())
}

// CaseNames returns the names of all cases in the order of the report.
func CaseNames() []string {
	var names []string
	for _, c := range Cases() {
		names = append(names, c.Name)
	}
	return names
}
