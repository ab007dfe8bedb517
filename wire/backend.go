package wire

import "encoding/json"

// Header names of requests to backend servers. The deadline is RFC 3339 with nanoseconds, UTC.
const (
	HeaderRequestID = "Request-Id"
	HeaderDeadline  = "Deadline"
)

// ShardQuery is the body of a query to one shard on a backend server.
type ShardQuery struct {
	RequestID    string `json:"RequestId"`
	Service      string `json:"Service"`
	Shard        string `json:"Shard"`
	IndexVersion string `json:"IndexVersion"`
	Kind         string `json:"Kind"`
	Query        string `json:"Query"`
	TopK         int    `json:"TopK"`
}

// ShardAnswer is the response of a backend server for one shard. Complete is the last field, so that a truncated
// body does not contain it.
type ShardAnswer struct {
	RequestID    string `json:"RequestId"`
	Shard        string `json:"Shard"`
	IndexVersion string `json:"IndexVersion"`
	Incarnation  string `json:"Incarnation"`
	Warm         bool   `json:"Warm"`
	Draining     bool   `json:"Draining"`
	Hits         []Hit  `json:"Hits"`
	Total        int64  `json:"Total"`
	Complete     bool   `json:"Complete"`
}

// BackendOrder is the body of an order to a backend server.
type BackendOrder struct {
	Key     string          `json:"Key"`
	Service string          `json:"Service"`
	Shard   string          `json:"Shard"`
	Kind    string          `json:"Kind"`
	Body    json.RawMessage `json:"Body"`
}

// BackendOrderAnswer is the response of a backend server to an order. Complete is the last field, as in ShardAnswer.
type BackendOrderAnswer struct {
	Key         string          `json:"Key"`
	Incarnation string          `json:"Incarnation"`
	Warm        bool            `json:"Warm"`
	Draining    bool            `json:"Draining"`
	Result      json.RawMessage `json:"Result"`
	Complete    bool            `json:"Complete"`
}

// BackendReason is the reason that a backend server returns in a BackendFailure.
type BackendReason string

// Reasons in error responses of backend servers.
const (
	BackendShed       BackendReason = "Shed"
	BackendDraining   BackendReason = "Draining"
	BackendVersion    BackendReason = "Version"
	BackendDeadline   BackendReason = "Deadline"
	BackendCold       BackendReason = "Cold"
	BackendBadRequest BackendReason = "BadRequest"
	// BackendIncarnation means that the address now belongs to another server process.
	BackendIncarnation BackendReason = "Incarnation"
	// BackendCancelled means that the request was cancelled with POST /cancel. NotRun reports whether it was
	// cancelled before it started to run.
	BackendCancelled BackendReason = "Cancelled"
)

// BackendFailure is the body of an error response of a backend server.
type BackendFailure struct {
	// RequestID echoes the Request-Id header of the request. A refusal without it is not trusted, because it may
	// belong to an earlier request on the connection.
	RequestID    string        `json:"RequestId"`
	NotRun       bool          `json:"NotRun"`
	Reason       BackendReason `json:"Reason"`
	IndexVersion string        `json:"IndexVersion,omitempty"`
	Incarnation  string        `json:"Incarnation,omitempty"`
}

// ServerState is the state that a health or load endpoint reports. It may be outdated or wrong.
type ServerState string

// States reported by health and load endpoints.
const (
	ServerReady    ServerState = "Ready"
	ServerCold     ServerState = "Cold"
	ServerDraining ServerState = "Draining"
)

// Health is the response body of the health and load endpoints. Load is between 0 and 1.
type Health struct {
	State       ServerState `json:"State"`
	Load        float64     `json:"Load"`
	Incarnation string      `json:"Incarnation,omitempty"`
}
