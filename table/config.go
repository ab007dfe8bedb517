// Package table holds the routing configuration that operators publish, and finds the route of a request by
// host and path. It does no input or output.
package table

import (
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Config is one version of the routing configuration. It takes effect atomically.
type Config struct {
	Version  uint64    `json:"Version"`
	Routes   []Route   `json:"Routes"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
}

// Route configures how requests to a host below a path prefix are served. Exactly one of Targets and
// Shards is set.
type Route struct {
	Name string `json:"Name"`
	Host string `json:"Host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"Prefix"`
	// Targets are the services among which requests are distributed by weight.
	Targets []Target `json:"Targets,omitempty"`
	// Shards are the services that each contribute a part of an answer.
	Shards []string `json:"Shards,omitempty"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"Idempotent,omitempty"`
	// Timeout is the time within which a request must have its final answer; 0 means DefaultTimeout.
	Timeout wire.Duration `json:"Timeout,omitempty"`
	// TargetLatency is the response-time objective.
	TargetLatency wire.Duration `json:"TargetLatency,omitempty"`
	// MaxAttempts is the number of servers to which a request may be sent, for each shard; 0 means 1.
	MaxAttempts int `json:"MaxAttempts,omitempty"`
	// Priority ranks routes; 0 is the highest priority.
	Priority int `json:"Priority,omitempty"`
	// TopK is the number of records in the answer of a route with shards.
	TopK int `json:"TopK,omitempty"`
	// MinCoverage is the least fraction of shards that an answer must cover, between 0 and 1.
	MinCoverage float64 `json:"MinCoverage,omitempty"`
	// Regions lists the regions in which requests may run; empty means all.
	Regions []string `json:"Homes,omitempty"`
}

// Target is a service with its weight in the distribution of the requests of a route.
type Target struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// Service is the configuration that applies to all servers of a service.
type Service struct {
	Name       string `json:"Name"`
	HealthPath string `json:"HealthPath,omitempty"`
	// Connections is the number of connections that a server accepts from all nodes together; 0 means no limit.
	Connections int `json:"Connections,omitempty"`
	// ColdTime is the time for which a server is cold after its start.
	ColdTime wire.Duration `json:"ColdTime,omitempty"`
	// ColdRate is the number of requests per second that a cold server can handle; 0 means no limit.
	ColdRate float64 `json:"ColdRate,omitempty"`
}

// Limits bounds the requests and connections of callers. Sizes are in bytes.
type Limits struct {
	HeaderBytes   int           `json:"HeaderBytes,omitempty"`
	BodyBytes     int           `json:"BodyBytes,omitempty"`
	HeaderTimeout wire.Duration `json:"HeaderTimeout,omitempty"`
	IdleTimeout   wire.Duration `json:"IdleTimeout,omitempty"`
}

// Defaults for limits that a configuration does not set.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 256 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 30 * time.Second
	// DefaultTimeout is the timeout of a request if its route has none. A shorter one of the caller applies.
	DefaultTimeout = 30 * time.Second
)

// Deadline returns the time by which a request must have its final answer. The timeout is that of the route, or
// that of the caller if it is shorter; 0 means that the caller has none.
func (r *Route) Deadline(now time.Time, caller time.Duration) time.Time {
	wait := r.Timeout.Std()
	if wait <= 0 {
		wait = DefaultTimeout
	}
	if caller > 0 {
		wait = min(wait, caller)
	}
	return now.Add(wait)
}

// Services returns the names of the services of the route: its shards and its targets.
func (r *Route) Services() []string {
	names := slices.Clone(r.Shards)
	for _, t := range r.Targets {
		names = append(names, t.Service)
	}
	return names
}

// Attempts returns the number of servers to which a request may be sent, for each shard. It is at least 1.
func (r *Route) Attempts() int { return max(1, r.MaxAttempts) }
