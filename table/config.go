// Package table decides which route a request takes: it holds the routing configuration that
// operators publish and finds the route of a host and path. It does no input or output.
package table

import (
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Config is one version of the routing configuration. It takes effect as a whole.
type Config struct {
	Version  uint64    `json:"Version"`
	Routes   []Route   `json:"Routes"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
}

// Route tells how requests of a host below a path prefix are served. Exactly one of Targets and
// Shards is set.
type Route struct {
	Name string `json:"Name"`
	Host string `json:"Host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"Prefix"`
	// Targets are the services among which requests are distributed by weight.
	Targets []Target `json:"Targets,omitempty"`
	// Shards are the services that each contribute a part to an answer.
	Shards []string `json:"Shards,omitempty"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"Idempotent,omitempty"`
	// Timeout is the longest time for which a request is kept waiting.
	Timeout wire.Duration `json:"Timeout,omitempty"`
	// TargetLatency is the response-time objective.
	TargetLatency wire.Duration `json:"TargetLatency,omitempty"`
	// MaxAttempts is the number of servers to which one request may be sent, for each shard.
	MaxAttempts int `json:"MaxAttempts,omitempty"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"Priority,omitempty"`
	// TopK is the number of records in the answer of a route with shards.
	TopK int `json:"TopK,omitempty"`
	// MinCoverage is the least share of shards that an answer must cover, between 0 and 1.
	MinCoverage float64 `json:"MinCoverage,omitempty"`
	// Homes are the regions in which requests may run; empty means all.
	Homes []string `json:"Homes,omitempty"`
}

// Target is a service with its share of the requests of a route.
type Target struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// Service is what operators say of all servers of a service.
type Service struct {
	Name       string `json:"Name"`
	HealthPath string `json:"HealthPath,omitempty"`
	// Connections is the most connections that a server accepts from all nodes; 0 means no bound.
	Connections int `json:"Connections,omitempty"`
	// ColdTime is how long a server stays cold after its start.
	ColdTime wire.Duration `json:"ColdTime,omitempty"`
	// ColdRate is the number of requests a second that a cold server bears; 0 means no bound.
	ColdRate float64 `json:"ColdRate,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"HeaderBytes,omitempty"`
	BodyBytes     int           `json:"BodyBytes,omitempty"`
	HeaderTimeout wire.Duration `json:"HeaderTimeout,omitempty"`
	IdleTimeout   wire.Duration `json:"IdleTimeout,omitempty"`
}

// Limits in force where a configuration names none.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 256 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 30 * time.Second
	// DefaultTimeout bounds a request whose route and caller name no time.
	DefaultTimeout = 30 * time.Second
)

// Deadline returns the time at which a request must have its final answer: that of the route, or
// of the caller if it is earlier. A caller without a deadline passes 0.
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

// Services returns the names of the services to which the route leads.
func (r *Route) Services() []string {
	names := slices.Clone(r.Shards)
	for _, t := range r.Targets {
		names = append(names, t.Service)
	}
	return names
}

// Attempts returns the number of servers to which a request may be sent, at least 1.
func (r *Route) Attempts() int { return max(1, r.MaxAttempts) }
