package call

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// action handles one request of a node.
type action func(w http.ResponseWriter, body []byte)

// node is a test node that handles queries and orders by a script of actions. After the end of the script
// it repeats the last action.
type node struct {
	*httptest.Server
	address netip.AddrPort

	mu        sync.Mutex
	script    []action
	addresses []string
	keepFor   time.Duration
	// addressDelay is the delay of responses with addresses.
	addressDelay time.Duration
	addressCalls int // requests for addresses
	issued       int // order keys
	keyLife      time.Duration
	orders       []wire.Order
	queries      []wire.Query
	lookups      int
}

func newNode(t *testing.T, script ...action) *node {
	n := &node{script: script, keepFor: time.Minute, keyLife: time.Minute}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/services/ledger/addresses", n.serveAddresses)
	mux.HandleFunc("POST /v1/services/ledger/order-keys", n.serveKeys)
	mux.HandleFunc("POST /v1/services/ledger/orders", n.serveOrder)
	mux.HandleFunc("GET /v1/services/ledger/orders/{key}", n.serveLookup)
	mux.HandleFunc("POST /v1/services/ledger/query", n.serveQuery)
	n.Server = httptest.NewServer(mux)
	t.Cleanup(n.CloseClientConnections)
	n.address = netip.MustParseAddrPort(strings.TrimPrefix(n.URL, "http://"))
	n.addresses = []string{n.address.String()}
	return n
}

func (n *node) next() action {
	a := n.script[0]
	if len(n.script) > 1 {
		n.script = n.script[1:]
	}
	return a
}

func (n *node) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addressCalls++
	time.Sleep(n.addressDelay)
	write(w, 200, wire.Addresses{Service: "ledger", Addresses: n.addresses, TTL: wire.Duration(n.keepFor)})
}

func (n *node) serveKeys(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var body struct{ Count int }
	_ = json.NewDecoder(r.Body).Decode(&body)
	var keys wire.OrderKeys
	for range body.Count {
		n.issued++
		keys.Keys = append(keys.Keys, wire.OrderKey{
			Key: n.address.String() + "-" + string(rune('a'+n.issued)), Expires: time.Now().Add(n.keyLife),
		})
	}
	write(w, 200, keys)
}

func (n *node) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	_ = json.NewDecoder(r.Body).Decode(&o)
	n.mu.Lock()
	n.orders = append(n.orders, o)
	a := n.next()
	n.mu.Unlock()
	body, _ := json.Marshal(o)
	a(w, body)
}

func (n *node) serveLookup(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	n.lookups++
	a := n.next()
	n.mu.Unlock()
	body, _ := json.Marshal(wire.Order{Key: r.PathValue("key")})
	a(w, body)
}

func (n *node) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q wire.Query
	_ = json.NewDecoder(r.Body).Decode(&q)
	n.mu.Lock()
	n.queries = append(n.queries, q)
	a := n.next()
	n.mu.Unlock()
	body, _ := json.Marshal(q)
	a(w, body)
}

// keysSent returns the keys of the received orders, in order of arrival.
func (n *node) keysSent() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var keys []string
	for _, o := range n.orders {
		keys = append(keys, o.Key)
	}
	return keys
}

func (n *node) queriesSent() []wire.Query {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.queries)
}

func (n *node) addressRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addressCalls
}

func write(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// answer sends a complete answer to a query or an order.
func answer(w http.ResponseWriter, body []byte) {
	var r struct {
		RequestID string `json:"RequestId"`
		Key       string
	}
	_ = json.Unmarshal(body, &r)
	if r.Key != "" {
		write(w, 200, wire.OrderResult{Key: r.Key, Outcome: wire.Answered, Result: json.RawMessage(`"cut"`)})
		return
	}
	write(w, 200, wire.Answer{
		RequestID: r.RequestID, Outcome: wire.Answered, IndexVersion: "v1",
		Coverage: wire.Coverage{Shards: 1, Covered: []string{"a"}},
	})
}

// answerOther sends a complete answer to another request.
func answerOther(w http.ResponseWriter, _ []byte) {
	answer(w, []byte(`{"RequestId":"other","Key":""}`))
}

func otherOrder(w http.ResponseWriter, _ []byte) {
	answer(w, []byte(`{"Key":"other"}`))
}

// duplicate sends the answer twice in one body.
func duplicate(w http.ResponseWriter, body []byte) {
	answer(w, body)
	answer(w, body)
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ []byte) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// truncate closes the connection in the middle of the response.
func truncate(w http.ResponseWriter, _ []byte) {
	c, b, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"RequestId\":")
		_ = b.Flush()
		_ = c.Close()
	}
}

func fail(f *wire.Failure) action {
	return func(w http.ResponseWriter, _ []byte) { write(w, f.Status(), f) }
}

func delay(d time.Duration, then action) action {
	return func(w http.ResponseWriter, body []byte) {
		time.Sleep(d)
		then(w, body)
	}
}

func newClient(t *testing.T, n *node, modify func(*Config)) *Client {
	config := Config{Seeds: []netip.AddrPort{n.address}, Key: "key", Timeout: 2 * time.Second, Seed: 1}
	if modify != nil {
		modify(&config)
	}
	c, err := New(config)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

func forwarded(f *wire.Failure) *wire.Failure {
	f.Forwarded = true
	return f
}
