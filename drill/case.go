package drill

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/gather"
)

// Kind is a stream of requests of one kind.
type Kind struct {
	Name string
	// Rate is the number of requests a second from all callers at a load of 1.
	Rate float64
	// Work is the median service time of a warm server.
	Work time.Duration
	// Single requests go to one server of the ledger, others to all shards.
	Single bool
	// Once means that a request may run at most once.
	Once bool
	// Target is the response-time objective, and Deadline the time that the caller waits.
	Target, Deadline time.Duration
	// Worth is what an answer within the target earns, times the square of its coverage, and LateWorth
	// the share of it that a later one earns.
	Worth, LateWorth float64
	MinCoverage      float64
	Priority         int
}

// Model sets how the modelled backend servers behave.
type Model struct {
	// Slots is the number of requests that run at once. Queue more wait, and the server sheds above.
	Slots, Queue int
	// Sigma is the spread of the logarithm of the service time.
	Sigma float64
	// A server stands still for PauseFor, on average once in PauseEvery.
	PauseEvery, PauseFor time.Duration
	// For ColdFor after its start a server takes ColdFactor times as long, and crashes above ColdRate
	// requests a second, when that is set.
	ColdFor    time.Duration
	ColdFactor float64
	ColdRate   float64
}

// Step is something that happens in a run.
type Step struct {
	At time.Duration
	Do func(*world)
}

// Case is a load pattern with the servers that it meets.
type Case struct {
	Name string
	// About names the pattern and the decision that answers it.
	About string
	// Shards is the number of shards of a query. Each has a server in each of the first two failure
	// domains, and so has the ledger, twice.
	Shards int
	Model  Model
	Kinds  []Kind
	// Load multiplies the rates; nil means 1.
	Load func(time.Duration) float64
	// Impatient is the share of callers that repeat a failed request at once, up to three times more.
	Impatient float64
	Duration  time.Duration
	Script    []Step
	Budget    gather.BudgetConfig
}

// FindCase returns the case of that name.
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
