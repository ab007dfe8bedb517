package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

// domainOutBound is the time after which a failure domain that is out gets no new work.
const domainOutBound = 2 * time.Second

// Check is one promise with what was seen.
type Check struct {
	Name string `json:"Name"`
	Kept bool   `json:"Kept"`
	Seen string `json:"Seen"`
}

// history records what callers were told. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	faults  []string
	answers int
	orders  map[string]wire.Outcome
	refused int
}

func newHistory() *history {
	return &history{orders: make(map[string]wire.Outcome)}
}

// answer checks an answer: it belongs to the request, comes from one version, lists each shard once,
// and has a hit of each shard only if it is covered.
func (h *history) answer(id string, a *wire.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers++
	if a.RequestID != id {
		h.fault("request %s got the answer of %s", id, a.RequestID)
	}
	covered := make(map[string]bool)
	for _, s := range a.Coverage.Covered {
		covered[s] = true
	}
	if len(covered)+len(a.Coverage.Missing) != a.Coverage.Shards {
		h.fault("request %s: %d covered and %d missing of %d shards", id, len(covered), len(a.Coverage.Missing), a.Coverage.Shards)
	}
	for _, hit := range a.Hits {
		// Identifiers of the stand-in read shard/version/number.
		part := strings.Split(hit.ID, "/")
		if len(part) != 3 || part[1] != a.IndexVersion || !covered[part[0]] {
			h.fault("request %s: hit %s in an answer of version %s", id, hit.ID, a.IndexVersion)
		}
	}
}

func (h *history) order(key string, outcome wire.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders[key] = outcome
}

func (h *history) refusal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
}

func (h *history) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// checks compares what callers were told with what the backend servers ran.
func (h *history) checks(f *Fleet) []Check {
	h.mu.Lock()
	defer h.mu.Unlock()
	return []Check{
		{
			"each answer is whole, its own, from one snapshot, with true coverage", len(h.faults) == 0,
			fmt.Sprintf("%d answers, %d faults %s", h.answers, len(h.faults), first(h.faults)),
		},
		h.checkOrders(f),
		checkCold(f),
	}
}

func (h *history) checkOrders(f *Fleet) Check {
	doubled, lost, false0, unknown := 0, 0, 0, 0
	for key, outcome := range h.orders {
		runs := f.Order(key)
		switch {
		case runs > 1:
			doubled++
		case outcome == wire.Answered && runs == 0:
			lost++
		case outcome == wire.Refused && runs != 0:
			false0++
		case outcome == wire.Unknown:
			unknown++
		}
	}
	return Check{
		"orders run at most once, and refusals that say not run are true", doubled+lost+false0 == 0,
		fmt.Sprintf("%d orders: %d doubled, %d answered but not run, %d refused but run, %d unknown",
			len(h.orders), doubled, lost, false0, unknown),
	}
}

// checkDomainOut looks at the servers of the domain that was out. They were marked when the bound
// had passed.
func checkDomainOut(out []*stand.Server) Check {
	after := 0
	for _, s := range out {
		after += s.Record().AfterMark
	}
	return Check{
		fmt.Sprintf("a failure domain that is out gets no new work after %v", domainOutBound), after == 0,
		fmt.Sprintf("%d requests at %d servers", after, len(out)),
	}
}

// checkCold looks at servers that started cold or were told so. A server that turned cold without
// a sign has work in flight that no client can take back in time.
func checkCold(f *Fleet) Check {
	over, phases := 0, 0
	for _, s := range f.Servers() {
		for _, c := range s.Record().Cold {
			phases++
			if c.Cause == stand.ColdStart {
				over += c.Over
			}
		}
	}
	return Check{
		"a server in a cold start gets no more work than it bears", over == 0,
		fmt.Sprintf("%d cold phases, %d requests above", phases, over),
	}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return "(" + list[0] + ")"
}
