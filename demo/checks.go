package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// domainOutBound is the time after which a failure domain that was set to out must receive no new requests.
const domainOutBound = 2 * time.Second

// Check is the result of the check of one guarantee.
type Check struct {
	Name     string `json:"Name"`
	Passed   bool   `json:"Kept"`
	Observed string `json:"Seen"`
}

// history records the results that callers received. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex
	violations []string
	answers    int
	orders     map[string]wire.Outcome
	refused    int
}

func newHistory() *history {
	return &history{orders: make(map[string]wire.Outcome)}
}

// recordAnswer counts an answer and checks it: it must belong to the request, come from one index version, list
// each shard either as covered or as missing, and contain hits of covered shards only.
func (h *history) recordAnswer(id string, a *wire.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers++
	if a.RequestID != id {
		h.addViolation("request %s got the answer of %s", id, a.RequestID)
	}
	covered := make(map[string]bool)
	for _, s := range a.Coverage.Covered {
		covered[s] = true
	}
	if len(covered)+len(a.Coverage.Missing) != a.Coverage.Shards {
		h.addViolation("request %s: %d covered and %d missing of %d shards", id, len(covered), len(a.Coverage.Missing), a.Coverage.Shards)
	}
	for _, hit := range a.Hits {
		// Hit IDs of the stand-in have the form shard/version/number.
		part := strings.Split(hit.ID, "/")
		if len(part) != 3 || part[1] != a.IndexVersion || !covered[part[0]] {
			h.addViolation("request %s: hit %s in an answer of version %s", id, hit.ID, a.IndexVersion)
		}
	}
}

func (h *history) recordOrder(key string, outcome wire.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders[key] = outcome
}

func (h *history) recordRefusal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// runChecks compares the results that callers received with the requests that the backend servers executed.
func (h *history) runChecks(f *Fleet) []Check {
	h.mu.Lock()
	defer h.mu.Unlock()
	return []Check{
		{
			"each answer is whole, its own, from one snapshot, with true coverage", len(h.violations) == 0,
			fmt.Sprintf("%d answers, %d faults %s", h.answers, len(h.violations), first(h.violations)),
		},
		h.checkOrders(f),
		checkCold(f),
	}
}

func (h *history) checkOrders(f *Fleet) Check {
	duplicated, lost, falseRefusals, unknown := 0, 0, 0, 0
	for key, outcome := range h.orders {
		runs := f.OrderRuns(key)
		switch {
		case runs > 1:
			duplicated++
		case outcome == wire.Answered && runs == 0:
			lost++
		case outcome == wire.Refused && runs != 0:
			falseRefusals++
		case outcome == wire.Unknown:
			unknown++
		}
	}
	return Check{
		"orders run at most once, and refusals that say not run are true", duplicated+lost+falseRefusals == 0,
		fmt.Sprintf("%d orders: %d doubled, %d answered but not run, %d refused but run, %d unknown",
			len(h.orders), duplicated, lost, falseRefusals, unknown),
	}
}

// checkDomainOut checks the servers of the failure domain that was out. They must have been marked when
// domainOutBound had passed.
func checkDomainOut(out []*fake.Server) Check {
	late := 0
	for _, s := range out {
		late += s.Record().AfterMark
	}
	return Check{
		fmt.Sprintf("a failure domain that is out gets no new work after %v", domainOutBound), late == 0,
		fmt.Sprintf("%d requests at %d servers", late, len(out)),
	}
}

// checkCold checks that servers in a cold start were not overloaded. Other cold phases are counted but not
// checked: a server that becomes cold without notice has requests in flight that no client can cancel in time.
func checkCold(f *Fleet) Check {
	excess, phases := 0, 0
	for _, s := range f.Servers() {
		for _, c := range s.Record().Cold {
			phases++
			if c.Cause == fake.ColdStart {
				excess += c.OverLimit
			}
		}
	}
	return Check{
		"a server in a cold start gets no more work than it bears", excess == 0,
		fmt.Sprintf("%d cold phases, %d requests above", phases, excess),
	}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return "(" + list[0] + ")"
}
