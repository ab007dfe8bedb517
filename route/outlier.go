package route

import (
	"net/netip"
	"time"
)

// OutlierConfig sets the limits of outlier ejection.
type OutlierConfig struct {
	// Failures in a row eject a server.
	Failures int
	// BaseEjection is the first ejection time; each further one doubles it up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// MaxShare is the largest share of servers that may be ejected at once. Above it a wrong
	// detector could empty a service, so servers stay in use.
	MaxShare float64
}

// DefaultOutlier returns the limits in use.
func DefaultOutlier() OutlierConfig {
	return OutlierConfig{
		Failures: 3, BaseEjection: 250 * time.Millisecond, MaxEjection: 30 * time.Second, MaxShare: 0.5,
	}
}

// Outlier ejects servers that fail repeatedly. An ejected server is tried again when its
// ejection ends.
type Outlier struct {
	config  OutlierConfig
	servers map[netip.AddrPort]*ejection
}

type ejection struct {
	failures int
	times    int
	until    time.Time
}

// NewOutlier returns a detector with no servers.
func NewOutlier(c OutlierConfig) *Outlier {
	return &Outlier{config: c, servers: make(map[netip.AddrPort]*ejection)}
}

// SetServers makes the detector know exactly these servers; what it knew of the rest is dropped.
func (o *Outlier) SetServers(servers []netip.AddrPort) {
	kept := make(map[netip.AddrPort]*ejection, len(servers))
	for _, s := range servers {
		kept[s] = o.servers[s]
		if kept[s] == nil {
			kept[s] = &ejection{}
		}
	}
	o.servers = kept
}

// Success records an answer and ends an ejection.
func (o *Outlier) Success(s netip.AddrPort) {
	e := o.servers[s]
	if e == nil {
		return
	}
	*e = ejection{}
}

// Failure records a failure and reports whether it ejected the server.
func (o *Outlier) Failure(now time.Time, s netip.AddrPort) bool {
	e := o.servers[s]
	if e == nil || now.Before(e.until) {
		return false
	}
	e.failures++
	if e.failures < o.config.Failures && e.times == 0 {
		return false
	}
	if !o.mayEject(now) {
		return false
	}
	d := min(o.config.MaxEjection, o.config.BaseEjection<<min(e.times, 10))
	e.until = now.Add(d)
	e.times++
	e.failures = 0
	return true
}

func (o *Outlier) mayEject(now time.Time) bool {
	ejected := 1
	for _, e := range o.servers {
		if now.Before(e.until) {
			ejected++
		}
	}
	return float64(ejected) <= o.config.MaxShare*float64(len(o.servers))
}

// Ejected reports whether the server is ejected now.
func (o *Outlier) Ejected(now time.Time, s netip.AddrPort) bool {
	e := o.servers[s]
	return e != nil && now.Before(e.until)
}
