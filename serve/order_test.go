package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/order"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

func serveHandler(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.URL
}

func (f *testFleet) key(n *Node) string {
	f.t.Helper()
	var keys wire.OrderKeys
	_, v := f.post(n, "/v1/services/service-0/order-keys", struct{ Count int }{1}, &keys)
	if v != nil {
		f.t.Fatal(v)
	}
	return keys.Keys[0].Key
}

// Guards against an order that runs twice when its key is sent to every node at once, and against
// another body that runs under the key.
func TestOrderSentToEveryNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{}, "Lukang", "Yilan", "Chiayi")
	f.home()
	for i, issuer := range f.nodes {
		key := f.key(issuer)
		o := wire.Order{Key: key, Kind: "order", Body: json.RawMessage(fmt.Sprintf(`{"Pairs":%d}`, i))}
		var wait sync.WaitGroup
		for _, n := range append(f.nodes, f.nodes...) {
			wait.Go(func() {
				var r wire.OrderResult
				_, v := f.post(n, "/v1/services/service-0/orders", o, &r)
				if v != nil || r.Outcome != wire.Answered || r.Key != key {
					t.Errorf("%v %v", r, v)
				}
			})
		}
		wait.Wait()
		o.Body = json.RawMessage(`{"Pairs":99}`)
		for _, n := range f.nodes {
			status, v := f.post(n, "/v1/services/service-0/orders", o, nil)
			is.Equal(status, http.StatusConflict)
			is.Equal(v.Reason, wire.ReasonKeyForeign)
			is.True(!v.NotRun) // the first body ran
		}
		is.Equal(f.Order(key), 1)
	}
}

// Guards against a late relay that its issuer refuses before it looks at the key, taken for the outcome of
// the key, which an earlier attempt may have run.
func TestRefusedRelayIsNoOutcome(t *testing.T) {
	is := is.New(t)
	o := &orders{}
	k := order.Key{Issuer: netip.MustParseAddrPort("127.0.0.1:7100")}
	for _, s := range []wire.Step{wire.StepDecode, wire.StepAuth, wire.StepReady} {
		f := wire.Refuse(s, k.Issuer.String(), wire.ReasonDeadline, "")
		f.Forwarded = true // as package peer sets it for each answer of a peer
		f = o.relayed(f, k)
		is.Equal(f.Outcome, wire.Unknown)
		is.True(!f.NotRun)
		is.True(!f.Forwarded)
	}
	f := wire.Refuse(wire.StepOrderKey, k.Issuer.String(), wire.ReasonKeyExpired, "")
	f.Forwarded = true
	f = o.relayed(f, k)
	is.Equal(f.Outcome, wire.Refused) // the table's word
	is.True(f.NotRun)
}

// Guards against an order that runs twice, a refusal that says "not run" of an order that ran, and
// the loss of more than 0.1% of the orders of patient callers, with one node lost.
func TestOrdersWithOneNodeLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{Servers: 6, Replicas: 3, Slots: 6}, "Lukang", "Yilan", "Chiayi")
	home := f.home()
	// Orders in flight at the lost node may be Unknown, so there are at most 0.1% of them.
	load := f.traffic(1, 2, time.Millisecond)
	placed := func(count int) {
		f.until(fmt.Sprint(count, " orders"), func() bool { _, n := load.counts(); return n >= count })
	}
	placed(300)
	f.kill(home)
	f.nodes = f.others(home)
	f.home()
	for n := 600; n <= 2100; n += 300 {
		placed(n)
	}
	load.stop()
	load.checkOrders()
	t.Logf("%d orders, not answered: %v", len(load.orders), load.lost)
	// The objective: 99.9% of the orders of patient callers succeed with one node lost.
	is.True(1000*len(load.lost) <= len(load.orders))
}

// Guards against an order whose outcome at the servers differs from what any node says of it, when nodes
// are ended with orders in flight that take long.
func TestOrdersInFlightAtTheLossOfNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleetWith(t, stand.Layout{Servers: 6, Replicas: 3}, stand.ServerConfig{
		StartWarm: true, Latency: stand.Latency{Median: 100 * time.Millisecond},
	}, "Lukang", "Yilan", "Chiayi", "Lukang", "Yilan", "Chiayi")
	load := f.traffic(0, 12, 0)
	for range 2 {
		lost := f.home()
		_, before := load.counts()
		f.until("orders in flight", func() bool { _, n := load.counts(); return n >= before+20 })
		f.kill(lost)
		f.nodes = f.others(lost)
	}
	_, before := load.counts()
	f.until("orders after the losses", func() bool { _, n := load.counts(); return n >= before+30 })
	load.stop()
	load.checkOrders()
	unknown := 0
	for _, outcome := range load.orders {
		if outcome == wire.Unknown {
			unknown++
		}
	}
	t.Logf("%d orders, %d unknown", len(load.orders), unknown)
	is.True(unknown <= 24) // at most those in flight at each loss
}

// Guards against "not run" for an order that has run, in a refusal that came before its key was looked
// at.
func TestRefusedResendDoesNotSayNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{}, "Lukang", "Yilan", "Chiayi")
	n := f.home()
	path := "/v1/services/" + testService + "/orders"
	good := wire.Order{Key: f.key(n), Kind: "order", Body: json.RawMessage(`1`)}
	var r wire.OrderResult
	_, failure := f.post(n, path, good, &r)
	is.True(failure == nil)
	is.Equal(r.Outcome, wire.Answered)
	for _, bad := range []any{
		wire.Order{Key: good.Key, Kind: "lookup", Body: good.Body},
		struct {
			Key   string `json:"Key"`
			Extra int    `json:"Extra"`
		}{good.Key, 1},
	} {
		_, failure = f.post(n, path, bad, nil)
		is.Equal(failure.Outcome, wire.Unknown)
		is.True(!failure.NotRun)
		is.True(!failure.Forwarded)
	}
}
