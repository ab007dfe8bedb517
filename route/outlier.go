package route

import (
	"net/netip"
	"time"
)

// OutlierConfig configures outlier ejection.
type OutlierConfig struct {
	// ConsecutiveFailures is the number of consecutive failures that eject a server.
	ConsecutiveFailures int
	// BaseEjection is the duration of the first ejection. It doubles with each further ejection, up to
	// MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// MaxEjectedShare is the maximum share of servers that may be ejected at the same time, from 0 to 1.
	// No further server is ejected beyond it, because false detections could eject all servers of a service.
	MaxEjectedShare float64
}

// DefaultOutlierConfig returns the default configuration.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{
		ConsecutiveFailures: 3, BaseEjection: 250 * time.Millisecond, MaxEjection: 30 * time.Second, MaxEjectedShare: 0.5,
	}
}

// OutlierDetector ejects servers that fail repeatedly. An ejected server receives requests again when
// its ejection expires.
type OutlierDetector struct {
	config  OutlierConfig
	servers map[netip.AddrPort]*ejectionState
}

type ejectionState struct {
	failures int
	count    int
	until    time.Time
}

// NewOutlierDetector returns a detector without servers.
func NewOutlierDetector(c OutlierConfig) *OutlierDetector {
	return &OutlierDetector{config: c, servers: make(map[netip.AddrPort]*ejectionState)}
}

// SetServers replaces the set of servers. The state of servers in both sets is kept; that of removed
// servers is discarded.
func (o *OutlierDetector) SetServers(servers []netip.AddrPort) {
	kept := make(map[netip.AddrPort]*ejectionState, len(servers))
	for _, s := range servers {
		kept[s] = o.servers[s]
		if kept[s] == nil {
			kept[s] = &ejectionState{}
		}
	}
	o.servers = kept
}

// Success records a successful response, which ends an ejection and resets the failure count.
func (o *OutlierDetector) Success(s netip.AddrPort) {
	e := o.servers[s]
	if e == nil {
		return
	}
	*e = ejectionState{}
}

// Failure records a failed attempt and reports whether it ejected the server. Once ejected, a server is
// ejected again on its first failure until a success resets it.
func (o *OutlierDetector) Failure(now time.Time, s netip.AddrPort) bool {
	e := o.servers[s]
	if e == nil || now.Before(e.until) {
		return false
	}
	e.failures++
	if e.failures < o.config.ConsecutiveFailures && e.count == 0 {
		return false
	}
	if !o.canEject(now) {
		return false
	}
	d := min(o.config.MaxEjection, o.config.BaseEjection<<min(e.count, 10))
	e.until = now.Add(d)
	e.count++
	e.failures = 0
	return true
}

func (o *OutlierDetector) canEject(now time.Time) bool {
	ejected := 1
	for _, e := range o.servers {
		if now.Before(e.until) {
			ejected++
		}
	}
	return float64(ejected) <= o.config.MaxEjectedShare*float64(len(o.servers))
}

// Ejected reports whether the server is ejected at the given time.
func (o *OutlierDetector) Ejected(now time.Time, s netip.AddrPort) bool {
	e := o.servers[s]
	return e != nil && now.Before(e.until)
}
