package proof

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// callers send queries and orders continuously until stop is called.
type callers struct {
	fleet  *fleet
	client *call.Client
	orders *history
	wg     sync.WaitGroup
	cancel context.CancelFunc

	mu           sync.Mutex
	wrongAnswers []string
	queries      int
	answered     int
	// refused counts refused queries by reason and by the reason of the first missing shard.
	refused map[string]int
	// answers holds the times of the answers by service.
	answers    map[string][]time.Time
	unresolved []unresolvedOrder
	outcomes   map[string]wire.Outcome
}

// unresolvedOrder is an order whose outcome is unknown.
type unresolvedOrder struct {
	service string
	key     wire.OrderKey
	order   call.Order
}

const requestInterval = 5 * time.Millisecond

func (f *fleet) callers(seed uint64, queriers, orderers int) *callers {
	ctx, end := context.WithCancel(context.Background())
	c := &callers{
		fleet: f, client: f.client(seed), orders: newHistory(), cancel: end,
		refused: map[string]int{}, answers: map[string][]time.Time{}, outcomes: map[string]wire.Outcome{},
	}
	f.t.Cleanup(c.stop)
	for i := range queriers + orderers {
		c.wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				// Most requests are for one service, so that its servers are fully utilized.
				service := "service-0"
				if random.IntN(4) == 0 {
					service = fmt.Sprintf("service-%d", random.IntN(len(f.document.Services)))
				}
				if i < queriers {
					c.query(service, fmt.Sprintf("q-%d-%d", i, n))
				} else {
					c.order(service, fmt.Sprintf(`"%d-%d"`, i, n))
				}
				pause(ctx, requestInterval)
			}
		})
	}
	return c
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
}

func (c *callers) query(service, id string) {
	q := wire.Query{RequestID: id, Kind: "lookup", Query: "pairs " + id}
	a, err := c.client.Query(context.Background(), service, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries++
	if err != nil {
		f := wire.AsFailure(err)
		c.refused[string(f.Reason)+f.Detail[strings.LastIndex(f.Detail, ":")+1:]]++
		return
	}
	c.answered++
	c.answers[service] = append(c.answers[service], time.Now())
	if text := checkAnswer(service, q, a); text != "" {
		c.wrongAnswers = append(c.wrongAnswers, text)
	}
}

// checkAnswer returns a description of the error in an answer, or "" if it is correct. The hits must be exactly
// those of its index version in the shards that it lists as covered.
func checkAnswer(service string, q wire.Query, a *wire.Answer) string {
	const topK = 10
	var want []wire.Hit
	for _, s := range a.Coverage.Covered {
		want = append(want, fake.Hits(service, s, a.IndexVersion, q.Query, fake.DefaultHits, topK)...)
	}
	slices.SortStableFunc(want, func(x, y wire.Hit) int { return cmp.Compare(y.Score, x.Score) })
	want = want[:min(topK, len(want))]
	switch {
	case a.RequestID != q.RequestID:
		return fmt.Sprintf("request %s got the answer of %s", q.RequestID, a.RequestID)
	case len(a.Coverage.Covered)+len(a.Coverage.Missing) != a.Coverage.Shards:
		return fmt.Sprintf("coverage %+v does not add up", a.Coverage)
	case !slices.EqualFunc(a.Hits, want, func(x, y wire.Hit) bool { return x.ID == y.ID }):
		return fmt.Sprintf("request %s: hits %v, want %v", q.RequestID, a.Hits, want)
	}
	return ""
}

func (c *callers) order(service, body string) {
	o := call.Order{Kind: "order", Body: json.RawMessage(body), Timeout: 4 * time.Second}
	begin := time.Now()
	r := c.client.Order(context.Background(), service, o)
	c.recordOutcome(begin, r)
	if r.Outcome != wire.Unknown {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresolved = append(c.unresolved, unresolvedOrder{service, wire.OrderKey{Key: r.Key, Expires: r.Expires}, o})
}

func (c *callers) recordOutcome(begin time.Time, r call.OrderResult) {
	if r.Key != "" {
		c.orders.add(begin, observation{key: r.Key, outcome: r.Outcome})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.Key
	if key == "" {
		key = fmt.Sprint("no key ", len(c.outcomes))
	}
	c.outcomes[key] = r.Outcome
}

// resolveUnknown queries the outcome of unresolved orders, alternating between a lookup and a resend.
func (c *callers) resolveUnknown() {
	var all sync.WaitGroup
	for i, x := range c.unresolved {
		all.Go(func() {
			begin := time.Now()
			if i%2 == 0 {
				c.recordOutcome(begin, c.client.Lookup(context.Background(), x.service, x.key.Key))
				return
			}
			c.recordOutcome(begin, c.client.Resend(context.Background(), x.service, x.key, x.order))
		})
	}
	all.Wait()
}

// count returns the number of orders with the outcome.
func (c *callers) count(outcome wire.Outcome) int {
	n := 0
	for _, o := range c.outcomes {
		if o == outcome {
			n++
		}
	}
	return n
}

// reconcile adds the number of executions on the servers to the history of orders, and returns the number of keys
// that were executed more than once.
func (c *callers) reconcile(records map[string]fake.Record) (doubled int) {
	runs := map[string]int{}
	for _, r := range records {
		for key, o := range r.Orders {
			runs[key] += o.Count
		}
	}
	now := time.Now()
	for key := range c.outcomes {
		if len(key) > 0 && key[0] != 'n' {
			c.orders.add(now, observation{key: key, counted: true, runs: runs[key]})
		}
	}
	for key, n := range runs {
		if n > 1 {
			doubled++
			c.fleet.t.Errorf("order %s ran %d times", key, n)
		}
	}
	return doubled
}

// longestAnswerGap returns the longest time without an answer from a service, over all services, among the gaps
// that begin within the window after the given time.
func (c *callers) longestAnswerGap(after time.Time, window time.Duration) time.Duration {
	var longest time.Duration
	for _, times := range c.answers {
		last := after
		for _, t := range times {
			if t.Before(after) {
				continue
			}
			if last.Sub(after) < window {
				longest = max(longest, t.Sub(last))
			}
			last = t
		}
	}
	return longest
}
