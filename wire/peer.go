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

// SliceQuery asks the home of a slice for its partial result. Proven means that the
// fingerprint has run without a crash lately, so that the home needs no canary.
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
	Proven       bool      `json:"Proven,omitempty"`
}

// SlicePartial is the partial result of a slice. StaleVersion means that a server no longer has
// the pinned version, so that the planner may plan again on another one. Sent means that at
// least one shard request may have reached a backend server.
type SlicePartial struct {
	RequestID    string         `json:"RequestId"`
	Slice        int            `json:"Slice"`
	IndexVersion string         `json:"IndexVersion"`
	Hits         []Hit          `json:"Hits"`
	Total        int64          `json:"Total"`
	Covered      []string       `json:"Covered"`
	Missing      []MissingShard `json:"Missing,omitempty"`
	StaleVersion bool           `json:"StaleVersion,omitempty"`
	Sent         bool           `json:"Sent"`
	// Sends is the number of shard requests sent, with hedges and retries.
	Sends int `json:"Sends,omitempty"`
}

// OrderRelay carries a caller's order from the node that it reached to the issuer of its key.
type OrderRelay struct {
	RequestID string    `json:"RequestId"`
	Caller    string    `json:"Caller"`
	Service   string    `json:"Service"`
	Order     Order     `json:"Order"`
	Deadline  time.Time `json:"Deadline"`
	// LookUp asks for the outcome only and never starts the order.
	LookUp bool `json:"LookUp,omitempty"`
}

// Execute asks the home of a slice to send one order to a backend server. The issuer sends it
// once, and again only after an answer that is certain not to have run.
type Execute struct {
	RequestID string          `json:"RequestId"`
	Key       string          `json:"Key"`
	Service   string          `json:"Service"`
	Slice     int             `json:"Slice"`
	Kind      string          `json:"Kind"`
	Body      json.RawMessage `json:"Body"`
	Deadline  time.Time       `json:"Deadline"`
}

// ExecuteResult is the backend server's result of an order.
type ExecuteResult struct {
	Key    string          `json:"Key"`
	Server string          `json:"Server"`
	Result json.RawMessage `json:"Result"`
}
