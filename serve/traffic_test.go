package serve

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

const testService = "service-0"

// expectedHits returns the only correct merge of the hits of the shards that an answer covers.
func expectedHits(service, version, query string, shards []string, topK int) []wire.Hit {
	var all []wire.Hit
	for _, s := range shards {
		all = append(all, fake.Hits(service, s, version, query, fake.DefaultHits, topK)...)
	}
	slices.SortStableFunc(all, func(a, b wire.Hit) int { return cmp.Compare(b.Score, a.Score) })
	return all[:min(topK, len(all))]
}

// answerError describes the first error in an answer, or returns an empty string. The hits must be exactly those of one
// version in the shards that the coverage lists.
func answerError(q wire.Query, a *wire.Answer) string {
	const topK = 10
	want := expectedHits(testService, a.IndexVersion, q.Query, a.Coverage.Covered, topK)
	switch {
	case a.RequestID != q.RequestID:
		return fmt.Sprintf("request %s got the answer to request %s", q.RequestID, a.RequestID)
	case len(a.Coverage.Covered)+len(a.Coverage.Missing) != a.Coverage.Shards:
		return fmt.Sprintf("coverage %+v does not add up", a.Coverage)
	case len(slices.Compact(slices.Sorted(slices.Values(a.Coverage.Covered)))) != len(a.Coverage.Covered):
		return fmt.Sprintf("coverage %+v lists a shard twice", a.Coverage)
	case a.Total != int64(fake.DefaultHits*len(a.Coverage.Covered)):
		return fmt.Sprintf("wrong total %d for %d shards", a.Total, len(a.Coverage.Covered))
	case !slices.EqualFunc(a.Hits, want, func(x, y wire.Hit) bool { return x.ID == y.ID && x.Score == y.Score }):
		return fmt.Sprintf("hits %v of version %s, want %v", a.Hits, a.IndexVersion, want)
	}
	return ""
}

// traffic is the load of callers that run until stop. Its fields may be read without the lock only after stop.
type traffic struct {
	fleet  *testFleet
	client *call.Client
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu            sync.Mutex
	incorrect     []string
	answered      int
	covered       int
	versions      map[string]int
	ids           []string
	failedQueries []string
	// failedAt holds the send times of failed queries.
	failedAt     []time.Time
	orders       map[string]wire.Outcome
	failedOrders []string
}

func (f *testFleet) client(change func(*call.Config)) *call.Client {
	f.t.Helper()
	c := call.Config{Key: fake.CallerKey, Seed: 1, Timeout: 10 * time.Second}
	for _, n := range f.nodes {
		c.Seeds = append(c.Seeds, n.CallerAddress())
	}
	if change != nil {
		change(&c)
	}
	k, err := call.New(c)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(k.Close)
	return k
}

// startTraffic starts callers that repeat queries and callers that repeat orders, with a pause of gap after each.
func (f *testFleet) startTraffic(queriers, orderers int, gap time.Duration) *traffic {
	f.t.Helper()
	v := &traffic{
		fleet: f, client: f.client(func(c *call.Config) { c.MaxAttempts = 100 }),
		versions: map[string]int{}, orders: map[string]wire.Outcome{},
	}
	ctx, end := context.WithCancel(context.Background())
	v.cancel = end
	f.t.Cleanup(v.stop)
	for i := range queriers {
		v.wait.Go(func() { v.repeat(ctx, gap, func(n int) { v.query(fmt.Sprintf("caller-%d-%d", i, n)) }) })
	}
	for i := range orderers {
		v.wait.Go(func() { v.repeat(ctx, gap, func(n int) { v.order(fmt.Sprintf(`"%d-%d"`, i, n)) }) })
	}
	return v
}

func (v *traffic) repeat(ctx context.Context, gap time.Duration, once func(int)) {
	for n := 0; ctx.Err() == nil; n++ {
		once(n)
		clock.Sleep(ctx, gap)
	}
}

func (v *traffic) stop() {
	v.cancel()
	v.wait.Wait()
}

func (v *traffic) query(id string) {
	q := wire.Query{RequestID: id, Kind: "lookup", Query: "pairs " + id}
	sent := time.Now()
	a, err := v.client.Query(context.Background(), testService, q)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ids = append(v.ids, id)
	if err != nil {
		v.failedQueries = append(v.failedQueries, id+": "+err.Error())
		v.failedAt = append(v.failedAt, sent)
		return
	}
	v.answered++
	v.covered += len(a.Coverage.Covered)
	v.versions[a.IndexVersion]++
	if text := answerError(q, a); text != "" {
		v.incorrect = append(v.incorrect, text)
	}
}

// order places an order and resends it with the same key if its outcome is unknown.
func (v *traffic) order(body string) {
	o := call.Order{Kind: "order", Body: json.RawMessage(body), Timeout: 4 * time.Second}
	r := v.client.Order(context.Background(), testService, o)
	if r.Outcome == wire.Unknown {
		r = v.client.Resend(context.Background(), testService, wire.OrderKey{Key: r.Key, Expires: r.Expires}, o)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.orders[r.Key] = r.Outcome
	if r.Outcome != wire.Answered {
		v.failedOrders = append(v.failedOrders, fmt.Sprintf("%s %s: %v", r.Outcome, body, r.Err()))
	}
}

func (v *traffic) counts() (answered, orders int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answered, len(v.orders)
}

// failedOutside returns the send times, relative to the first silence, of failed queries that were not sent within the
// given time before or after a silence.
func (v *traffic) failedOutside(silences []time.Time, within time.Duration) []time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []time.Duration
	for _, at := range v.failedAt {
		if !slices.ContainsFunc(silences, func(s time.Time) bool { return !at.Before(s.Add(-within)) && at.Before(s.Add(within)) }) {
			list = append(list, at.Sub(silences[0]))
		}
	}
	return list
}

// waitForAnswers waits until count more queries have been answered.
func (v *traffic) waitForAnswers(count int) {
	v.fleet.t.Helper()
	before, _ := v.counts()
	v.fleet.eventually(fmt.Sprint(count, " more answers"), func() bool {
		now, _ := v.counts()
		return now >= before+count
	})
}

// checkOrders compares the outcomes reported to callers with what the servers ran.
func (v *traffic) checkOrders() {
	t := v.fleet.t
	t.Helper()
	for key, outcome := range v.orders {
		runs := v.fleet.OrderRuns(key)
		if runs > 1 || outcome == wire.Answered && runs != 1 || outcome == wire.Refused && runs != 0 {
			t.Errorf("order %s: reported %s, but ran %d times", key, outcome, runs)
		}
	}
}

// leaseHolder returns the node that holds the lease of the first slice.
func (f *testFleet) leaseHolder() *Node {
	f.t.Helper()
	var holder *Node
	f.eventually("a lease holder", func() bool {
		for _, n := range f.nodes {
			if _, ok := n.peer.Lease(testService, 0); ok {
				holder = n
				return true
			}
		}
		return false
	})
	return holder
}

// nodesExcept returns all nodes except n.
func (f *testFleet) nodesExcept(n *Node) []*Node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(m *Node) bool { return m == n })
}

// kill terminates a node without a graceful shutdown.
func (f *testFleet) kill(n *Node) {
	f.cancels[n]()
}

func (f *testFleet) servers(t *testing.T, domains ...string) []*fake.Server {
	t.Helper()
	list := f.Servers(domains...)
	is.New(t).True(len(list) > 0)
	return list
}

func (f *testFleet) sumRecords(count func(fake.Record) int) int {
	n := 0
	for _, s := range f.Servers() {
		n += count(s.Record())
	}
	return n
}

// ejected returns the servers that a lease holder has ejected.
func (f *testFleet) ejected() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range f.nodes {
		for _, h := range n.Status().Slices {
			for _, s := range h.Servers {
				if s.Ejected {
					list = append(list, s.Server)
				}
			}
		}
	}
	return list
}
