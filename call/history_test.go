package call

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// issuer keeps the order keys of one node as described in section 4.5 of the design, and counts the runs
// of each order body. A restart discards its keys.
type issuer struct {
	mu          sync.Mutex
	incarnation int
	keys        map[string]wire.OrderResult
	runs        map[string]int
}

func (x *issuer) issue(i int) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return fmt.Sprintf("%d-%d", x.incarnation, i)
}

func (x *issuer) restart() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incarnation++
	x.keys = map[string]wire.OrderResult{}
}

// run runs the order unless its key was already used, closed, or issued before a restart. With shed set,
// it closes an unused key instead.
func (x *issuer) run(o wire.Order, shed bool) (wire.OrderResult, *wire.Failure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !strings.HasPrefix(o.Key, fmt.Sprintf("%d-", x.incarnation)) {
		return wire.OrderResult{}, foreign
	}
	r, ok := x.keys[o.Key]
	if !ok && shed {
		r = wire.OrderResult{Key: o.Key, Outcome: wire.Refused}
		x.keys[o.Key] = r
	}
	if !ok && !shed {
		x.runs[string(o.Body)]++
		r = wire.OrderResult{Key: o.Key, Outcome: wire.Answered, Result: o.Body}
		x.keys[o.Key] = r
	}
	if r.Outcome == wire.Refused {
		return r, closed
	}
	return r, nil
}

// relay returns a node in front of the issuer that injects faults from a seeded random source.
func relay(t *testing.T, x *issuer, seed uint64) *node {
	n := newNode(t, nil)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	n.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		fault, restart := random.IntN(12), random.IntN(40) == 0
		mu.Unlock()
		if restart {
			x.restart()
		}
		switch {
		case strings.HasSuffix(r.URL.Path, "/addresses"):
			n.serveAddresses(w, r)
		case strings.HasSuffix(r.URL.Path, "/order-keys"):
			n.mu.Lock()
			n.issued++
			i := n.issued
			n.mu.Unlock()
			key := x.issue(i*1000 + int(n.address.Port())*1_000_000)
			write(w, 200, wire.OrderKeys{Keys: []wire.OrderKey{{Key: key, Expires: time.Now().Add(time.Minute)}}})
		default:
			n.relayOrder(w, r, x, fault)
		}
	})
	return n
}

func (n *node) relayOrder(w http.ResponseWriter, r *http.Request, x *issuer, fault int) {
	var o wire.Order
	_ = json.NewDecoder(r.Body).Decode(&o)
	switch fault {
	case 0:
		closeConnection(w, nil) // before the order runs
		return
	case 1:
		write(w, 503, unreachable)
		return
	case 2:
		write(w, 503, notReady)
		return
	case 7:
		write(w, 504, late)
		return
	}
	result, f := x.run(o, fault == 3)
	switch {
	case fault == 4:
		closeConnection(w, nil) // after the order ran
	case fault == 5:
		truncate(w, nil)
	case fault == 6:
		write(w, 503, unknown)
	case f != nil:
		write(w, f.Status(), f)
	default:
		write(w, 200, result)
	}
}

// Guards against an order that runs twice, and against an outcome that contradicts the runs, in seeded
// histories of lost, late and refused requests, lost replies, shedding, unreachable issuers and
// restarts.
func TestOrderHistories(t *testing.T) {
	const histories, callers, orders = 8, 4, 10
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := &issuer{keys: map[string]wire.OrderResult{}, runs: map[string]int{}}
			a, b := relay(t, x, seed), relay(t, x, seed+100)
			a.addresses = []string{a.address.String(), b.address.String()}
			b.addresses = a.addresses
			c := newClient(t, a, func(config *Config) {
				config.Seeds = []netip.AddrPort{a.address, b.address}
				config.Seed = seed + 1
			})
			var mu sync.Mutex
			outcomes := map[string]wire.Outcome{}
			var wait sync.WaitGroup
			for i := range callers {
				wait.Go(func() {
					for j := range orders {
						body := fmt.Sprintf(`"%d-%d"`, i, j)
						r := c.Order(context.Background(), "ledger", Order{Kind: "place-order", Body: json.RawMessage(body), Timeout: time.Second})
						mu.Lock()
						outcomes[body] = r.Outcome
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			answered := 0
			for body, outcome := range outcomes {
				runs := x.runs[body]
				is.True(runs <= 1)
				is.True(outcome != wire.Answered || runs == 1)
				is.True(outcome != wire.Refused || runs == 0)
				if outcome == wire.Answered {
					answered++
				}
			}
			is.True(answered > callers*orders/2)
		})
	}
}
