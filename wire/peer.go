package wire

import (
	"encoding/json"
	"time"
)

// Header names of HTTP requests between nodes.
const (
	HeaderFleetAuth     = "Fleet-Auth"
	HeaderFleetProtocol = "Fleet-Protocol"
	// FleetProtocol is the version of the protocol between nodes.
	FleetProtocol = "1"
)

// SliceQuery requests the partial result of a slice from its lease holder. SkipCanary means that requests with the same
// fingerprint have recently run without a crash, so that the lease holder does not need a canary.
type SliceQuery struct {
	RequestID    string    `json:"RequestId"`
	Caller       string    `json:"Caller"`
	Service      string    `json:"Service"`
	Slice        int       `json:"Slice"`
	IndexVersion string    `json:"IndexVersion"`
	Kind         string    `json:"Kind"`
	Query        string    `json:"Query"`
	TopK         int       `json:"TopK"`
	Shards       []string  `json:"Shards"`
	Deadline     time.Time `json:"Deadline"`
	SkipCanary   bool      `json:"Proven,omitempty"`
}

// SliceResult is the partial result of a slice. StaleVersion means that a server no longer has the pinned index
// version, so that the planner may plan again with another version. Sent means that at least one shard request may
// have reached a backend server.
type SliceResult struct {
	RequestID    string         `json:"RequestId"`
	Slice        int            `json:"Slice"`
	IndexVersion string         `json:"IndexVersion"`
	Hits         []Hit          `json:"Hits"`
	Total        int64          `json:"Total"`
	Covered      []string       `json:"Covered"`
	Missing      []MissingShard `json:"Missing,omitempty"`
	StaleVersion bool           `json:"StaleVersion,omitempty"`
	Sent         bool           `json:"Sent"`
	// Sends is the number of shard requests sent, including hedges and retries.
	Sends int `json:"Sends,omitempty"`
}

// OrderRelay relays a caller's order from the node that received it to the node that issued its key.
type OrderRelay struct {
	RequestID string    `json:"RequestId"`
	Caller    string    `json:"Caller"`
	Service   string    `json:"Service"`
	Order     Order     `json:"Order"`
	Deadline  time.Time `json:"Deadline"`
	// LookUp requests only the outcome; the order is never started.
	LookUp bool `json:"LookUp,omitempty"`
}

// ExecuteOrder asks the lease holder of a slice to send one order to a backend server. The key issuer sends it once, and
// retries only after a response which guarantees that the order did not run.
type ExecuteOrder struct {
	RequestID string          `json:"RequestId"`
	Key       string          `json:"Key"`
	Service   string          `json:"Service"`
	Slice     int             `json:"Slice"`
	Kind      string          `json:"Kind"`
	Body      json.RawMessage `json:"Body"`
	Deadline  time.Time       `json:"Deadline"`
}

// ExecuteResult is the result of an order from the backend server.
type ExecuteResult struct {
	Key    string          `json:"Key"`
	Server string          `json:"Server"`
	Result json.RawMessage `json:"Result"`
}
