package call

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

var (
	coverage = &wire.Failure{Outcome: wire.Refused, Forwarded: true, Step: wire.StepMerge, Reason: wire.ReasonCoverage}
	backend  = &wire.Failure{Outcome: wire.Refused, Forwarded: true, Step: wire.StepScatter, Reason: wire.ReasonBackend}
)

// Guards against accepting an answer that is incomplete or belongs to another request, against a query
// that fails because of a single fault, and against retries that cannot succeed.
func TestQueryRules(t *testing.T) {
	tests := []struct {
		name   string
		script []action
		reason wire.Reason // of the failure; empty if the query is answered
		sends  int
	}{
		{"answered", []action{answer}, "", 1},
		{"broken connection", []action{closeConnection, answer}, "", 2},
		{"truncated reply", []action{truncate, answer}, "", 2},
		{"duplicated reply in one body", []action{duplicate, answer}, "", 2},
		{"answer to another request", []action{answerOther, answer}, "", 2},
		{"unresponsive node", []action{delay(1500*time.Millisecond, closeConnection), answer}, "", 2},
		{"starting node", []action{fail(notReady), fail(notReady), answer}, "", 3},
		{"overload", []action{fail(overload), answer}, "", 2},
		{"backend failure", []action{fail(backend), answer}, "", 2},
		{"attempts are bounded", []action{closeConnection}, wire.ReasonPeer, 3},
		{"forbidden", []action{fail(forbidden)}, wire.ReasonForbidden, 1},
		{"coverage below the minimum", []action{fail(coverage)}, wire.ReasonCoverage, 1},
		{"backoff beyond the deadline", []action{fail(overload.WithRetryAfter(time.Hour))}, wire.ReasonOverload, 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := newNode(t, x.script...)
			a, err := newClient(t, n, nil).Query(context.Background(), "ledger", wire.Query{Kind: "lookup"})
			sent := n.queriesSent()
			is.Equal(len(sent), x.sends)
			for _, q := range sent {
				is.True(q.RequestID != "")
				is.Equal(q.RequestID, sent[0].RequestID)
			}
			if x.reason == "" {
				is.NoErr(err)
				is.Equal(a.RequestID, sent[0].RequestID)
				return
			}
			var f *wire.Failure
			is.True(errors.As(err, &f))
			is.Equal(f.Reason, x.reason)
		})
	}
}

// Guards against losing a reply that a node sends at the deadline it received.
func TestQueryReplyAtDeadline(t *testing.T) {
	is := is.New(t)
	n := newNode(t, func(w http.ResponseWriter, body []byte) {
		var q wire.Query
		_ = json.Unmarshal(body, &q)
		time.Sleep(q.Timeout.Std())
		write(w, 503, coverage)
	})
	q := wire.Query{Kind: "lookup", Timeout: wire.Duration(time.Second)}
	_, err := newClient(t, n, nil).Query(context.Background(), "ledger", q)
	is.Equal(wire.AsFailure(err).Reason, wire.ReasonCoverage)
	is.Equal(len(n.queriesSent()), 1)
}

// Guards against idle connections that permanently stop responding while new ones work: after the first
// time-out, none of the other idle connections may be used again, so that at most one attempt is lost.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	n := newNode(t, answer)
	var mu sync.Mutex
	silent, opened := map[string]bool{}, map[string]bool{}
	inner := n.Config.Handler
	n.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		opened[r.RemoteAddr] = true
		isSilent := silent[r.RemoteAddr]
		mu.Unlock()
		if isSilent {
			<-r.Context().Done()
			return
		}
		inner.ServeHTTP(w, r)
	})
	c := newClient(t, n, nil)
	q := wire.Query{Kind: "lookup", Timeout: wire.Duration(400 * time.Millisecond)}
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() { _, _ = c.Query(context.Background(), "ledger", q) })
	}
	wait.Wait()
	mu.Lock()
	silent = maps.Clone(opened)
	mu.Unlock()
	for i := range 3 {
		start := time.Now()
		_, err := c.Query(context.Background(), "ledger", q)
		is.NoErr(err)
		is.True(i == 0 || time.Since(start) < 200*time.Millisecond)
	}
}

// Guards against retries that multiply the load on overloaded nodes.
func TestQueryRetryBudget(t *testing.T) {
	is := is.New(t)
	n := newNode(t, fail(overload))
	c := newClient(t, n, nil)
	const queries = 100
	for range queries {
		_, err := c.Query(context.Background(), "ledger", wire.Query{Kind: "lookup"})
		is.True(err != nil)
	}
	is.True(len(n.queriesSent()) <= queries+retryBurst+queries/10)
}

// Guards against using addresses for longer than the node allows when its response was delayed: the node
// may have stopped by then.
func TestAddressCacheTimeStartsAtRequest(t *testing.T) {
	is := is.New(t)
	n := newNode(t, answer)
	n.keepFor, n.addressDelay = 200*time.Millisecond, 250*time.Millisecond
	c := newClient(t, n, nil)
	for range 2 {
		_, err := c.Addresses(context.Background(), "ledger")
		is.NoErr(err)
	}
	is.Equal(n.addressRequests(), 2)
}

// Guards against repeated attempts at an unreachable node, against fetching addresses before each query,
// and against an outage while no node returns addresses.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	lost, live := newNode(t, answer), newNode(t, answer)
	live.addresses = []string{lost.address.String(), live.address.String()}
	live.keepFor = 300 * time.Millisecond
	c := newClient(t, live, func(config *Config) { config.Seeds = append(config.Seeds, lost.address) })
	lost.Close()
	for range 20 {
		_, err := c.Query(context.Background(), "ledger", wire.Query{Kind: "lookup"})
		is.NoErr(err)
	}
	is.True(live.addressRequests() <= 3)

	live.Close()
	time.Sleep(live.keepFor)
	got, err := c.Addresses(context.Background(), "ledger")
	is.NoErr(err)
	is.Equal(got, []netip.AddrPort{lost.address, live.address})
}
