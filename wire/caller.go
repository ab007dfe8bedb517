package wire

import (
	"encoding/json"
	"time"
)

// Hit is one result of a query. Fields is passed through from the backend server.
type Hit struct {
	ID     string          `json:"Id"`
	Score  float64         `json:"Score"`
	Fields json.RawMessage `json:"Fields,omitempty"`
}

// MissingShard is a shard that an answer lacks, with the reason.
type MissingShard struct {
	Shard  string `json:"Shard"`
	Reason Reason `json:"Reason"`
}

// Coverage states which shards an answer contains.
type Coverage struct {
	Shards  int            `json:"Shards"`
	Covered []string       `json:"Covered"`
	Missing []MissingShard `json:"Missing,omitempty"`
}

// Share returns the covered share of all shards, between 0 and 1.
func (c Coverage) Share() float64 {
	if c.Shards == 0 {
		return 0
	}
	return float64(len(c.Covered)) / float64(c.Shards)
}

// Addresses tells a caller where to send requests for a service and how long it may keep the
// answer.
type Addresses struct {
	Service   string   `json:"Service"`
	Addresses []string `json:"Addresses"`
	KeepFor   Duration `json:"KeepFor"`
}

// Query is the body of a query. An empty RequestID is replaced by the node. A zero Timeout means
// the longest that the kind allows.
type Query struct {
	RequestID string   `json:"RequestId,omitempty"`
	Kind      string   `json:"Kind"`
	Query     string   `json:"Query"`
	TopK      int      `json:"TopK,omitempty"`
	Timeout   Duration `json:"Timeout,omitempty"`
}

// Answer is the result of a query. All its hits come from IndexVersion.
type Answer struct {
	RequestID    string   `json:"RequestId"`
	Outcome      Outcome  `json:"Outcome"`
	IndexVersion string   `json:"IndexVersion"`
	Hits         []Hit    `json:"Hits"`
	Total        int64    `json:"Total"`
	Coverage     Coverage `json:"Coverage"`
}

// OrderKey is the right to run one order at most once, with the time at which it ends.
type OrderKey struct {
	Key     string    `json:"Key"`
	Expires time.Time `json:"Expires"`
}

// OrderKeys is the answer to a request for order keys.
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
