package wire

import (
	"encoding/json"
	"time"
)

// Hit is one result of a query. Fields is passed through unchanged from the backend server.
type Hit struct {
	ID     string          `json:"Id"`
	Score  float64         `json:"Score"`
	Fields json.RawMessage `json:"Fields,omitempty"`
}

// MissingShard is a shard whose results are missing from an answer, with the reason.
type MissingShard struct {
	Shard  string `json:"Shard"`
	Reason Reason `json:"Reason"`
}

// Coverage lists the shards whose results an answer contains, and the missing ones. Shards is the number of all
// shards.
type Coverage struct {
	Shards  int            `json:"Shards"`
	Covered []string       `json:"Covered"`
	Missing []MissingShard `json:"Missing,omitempty"`
}

// Fraction returns the fraction of all shards that is covered, between 0 and 1. It is 0 if there are no shards.
func (c Coverage) Fraction() float64 {
	if c.Shards == 0 {
		return 0
	}
	return float64(len(c.Covered)) / float64(c.Shards)
}

// Addresses is the response to a caller's directory request: the addresses that accept requests for the service.
// TTL is how long the caller may cache them.
type Addresses struct {
	Service   string   `json:"Service"`
	Addresses []string `json:"Addresses"`
	TTL       Duration `json:"KeepFor"`
}

// Query is the body of a query. If RequestID is empty, the node generates one. A zero Timeout means the maximum
// timeout of the kind.
type Query struct {
	RequestID string   `json:"RequestId,omitempty"`
	Kind      string   `json:"Kind"`
	Query     string   `json:"Query"`
	TopK      int      `json:"TopK,omitempty"`
	Timeout   Duration `json:"Timeout,omitempty"`
}

// Answer is the result of a query. All its hits come from the same index version, IndexVersion.
type Answer struct {
	RequestID    string   `json:"RequestId"`
	Outcome      Outcome  `json:"Outcome"`
	IndexVersion string   `json:"IndexVersion"`
	Hits         []Hit    `json:"Hits"`
	Total        int64    `json:"Total"`
	Coverage     Coverage `json:"Coverage"`
}

// OrderKey is an idempotency key, which permits one order to run at most once. Expires is its expiry time.
type OrderKey struct {
	Key     string    `json:"Key"`
	Expires time.Time `json:"Expires"`
}

// OrderKeys is the response to a request for order keys.
type OrderKeys struct {
	Keys []OrderKey `json:"Keys"`
}

// Order is the body of an order.
type Order struct {
	Key     string          `json:"Key"`
	Kind    string          `json:"Kind"`
	Body    json.RawMessage `json:"Body"`
	Timeout Duration        `json:"Timeout,omitempty"`
}

// OrderResult is the outcome of an order that has run.
type OrderResult struct {
	Key     string          `json:"Key"`
	Outcome Outcome         `json:"Outcome"`
	Result  json.RawMessage `json:"Result,omitempty"`
}
