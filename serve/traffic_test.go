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
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

const testService = "service-0"

// wantHits is the one right merge of the shards that an answer says it covers.
func wantHits(service, version, query string, shards []string, topK int) []wire.Hit {
	var all []wire.Hit
	for _, s := range shards {
		all = append(all, stand.Hits(service, s, version, query, stand.DefaultHits, topK)...)
	}
	slices.SortStableFunc(all, func(a, b wire.Hit) int { return cmp.Compare(b.Score, a.Score) })
	return all[:min(topK, len(all))]
}

// wrongAnswer tells what is wrong with an answer, or returns an empty text. The hits must be
// exactly those of one version in the shards that the coverage lists.
func wrongAnswer(q wire.Query, a *wire.Answer) string {
	const topK = 10
	want := wantHits(testService, a.IndexVersion, q.Query, a.Coverage.Covered, topK)
	switch {
	case a.RequestID != q.RequestID:
		return fmt.Sprintf("request %s got the answer of %s", q.RequestID, a.RequestID)
	case len(a.Coverage.Covered)+len(a.Coverage.Missing) != a.Coverage.Shards:
		return fmt.Sprintf("coverage %+v does not add up", a.Coverage)
	case len(slices.Compact(slices.Sorted(slices.Values(a.Coverage.Covered)))) != len(a.Coverage.Covered):
		return fmt.Sprintf("coverage %+v lists a shard twice", a.Coverage)
	case a.Total != int64(stand.DefaultHits*len(a.Coverage.Covered)):
		return fmt.Sprintf("total %d of %d shards", a.Total, len(a.Coverage.Covered))
	case !slices.EqualFunc(a.Hits, want, func(x, y wire.Hit) bool { return x.ID == y.ID && x.Score == y.Score }):
		return fmt.Sprintf("hits %v of version %s, want %v", a.Hits, a.IndexVersion, want)
	}
	return ""
}

// traffic is the load of callers that run until stop. Its counts are read after stop.
type traffic struct {
	fleet  *testFleet
	client *call.Client
	end    context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	wrong    []string
	answered int
	covered  int
	versions map[string]int
	ids      []string
	refused  []string
	// lostAt are the times at which queries without an answer were sent.
	lostAt []time.Time
	orders map[string]wire.Outcome
	lost   []string
}

func (f *testFleet) client(change func(*call.Config)) *call.Client {
	f.t.Helper()
	c := call.Config{Key: stand.CallerKey, Seed: 1, Timeout: 10 * time.Second}
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

// traffic starts callers that query, and others that order, without pause but for the gap.
func (f *testFleet) traffic(queriers, orderers int, gap time.Duration) *traffic {
	f.t.Helper()
	v := &traffic{
		fleet: f, client: f.client(func(c *call.Config) { c.Attempts = 100 }),
		versions: map[string]int{}, orders: map[string]wire.Outcome{},
	}
	ctx, end := context.WithCancel(context.Background())
	v.end = end
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
	v.end()
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
		v.refused = append(v.refused, id+": "+err.Error())
		v.lostAt = append(v.lostAt, sent)
		return
	}
	v.answered++
	v.covered += len(a.Coverage.Covered)
	v.versions[a.IndexVersion]++
	if text := wrongAnswer(q, a); text != "" {
		v.wrong = append(v.wrong, text)
	}
}

// order places an order as a patient caller does: an unknown outcome is asked for with the same key.
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
		v.lost = append(v.lost, fmt.Sprintf("%s %s: %v", r.Outcome, body, r.Err()))
	}
}

func (v *traffic) counts() (answered, orders int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answered, len(v.orders)
}

// lostOutside returns the times, from the first silence, at which queries without an answer were sent
// that were not sent within the time after a silence.
func (v *traffic) lostOutside(silences []time.Time, within time.Duration) []time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []time.Duration
	for _, at := range v.lostAt {
		if !slices.ContainsFunc(silences, func(s time.Time) bool { return !at.Before(s.Add(-within)) && at.Before(s.Add(within)) }) {
			list = append(list, at.Sub(silences[0]))
		}
	}
	return list
}

// more waits until that many more queries have been answered.
func (v *traffic) more(count int) {
	v.fleet.t.Helper()
	before, _ := v.counts()
	v.fleet.until(fmt.Sprint(count, " more answers"), func() bool {
		now, _ := v.counts()
		return now >= before+count
	})
}

// checkOrders reconciles what callers were told with what the servers ran.
func (v *traffic) checkOrders() {
	t := v.fleet.t
	t.Helper()
	for key, outcome := range v.orders {
		runs := v.fleet.Order(key)
		if runs > 1 || outcome == wire.Answered && runs != 1 || outcome == wire.Refused && runs != 0 {
			t.Errorf("order %s: %s, but run %d times", key, outcome, runs)
		}
	}
}

// home returns the node that holds the lease of the first slice.
func (f *testFleet) home() *Node {
	f.t.Helper()
	var home *Node
	f.until("a home", func() bool {
		for _, n := range f.nodes {
			if _, ok := n.peer.Lease(testService, 0); ok {
				home = n
				return true
			}
		}
		return false
	})
	return home
}

// others returns the nodes but one.
func (f *testFleet) others(n *Node) []*Node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(m *Node) bool { return m == n })
}

// kill ends a node at once.
func (f *testFleet) kill(n *Node) {
	f.ends[n]()
}

func (f *testFleet) servers(t *testing.T, domains ...string) []*stand.Server {
	t.Helper()
	list := f.Servers(domains...)
	is.New(t).True(len(list) > 0)
	return list
}

func (f *testFleet) total(count func(stand.Record) int) int {
	n := 0
	for _, s := range f.Servers() {
		n += count(s.Record())
	}
	return n
}

// ejected returns the servers that a home has ejected.
func (f *testFleet) ejected() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range f.nodes {
		for _, h := range n.Status().Homes {
			for _, s := range h.Servers {
				if s.Ejected {
					list = append(list, s.Server)
				}
			}
		}
	}
	return list
}
