package table

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Check returns an error that describes the first fault of the configuration, or nil. A configuration takes
// effect only if it has no fault.
func (c *Config) Check() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return errors.Newf("table: service %q has no name or is duplicated", s.Name)
		}
		services[s.Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(services); err != nil {
			return errors.Wrapf(err, "table: route %q", c.Routes[i].Name)
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("host %q or prefix %q is not valid", r.Host, r.Prefix)
	}
	if (len(r.Targets) == 0) == (len(r.Shards) == 0) {
		return errors.New("must have either targets or shards")
	}
	if r.MinCoverage < 0 || r.MinCoverage > 1 || r.Timeout < 0 || r.TargetLatency < 0 {
		return errors.New("has a coverage outside 0 to 1 or a negative time")
	}
	total := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] || t.Weight < 0 {
			return errors.Newf("target %q is not a service or has a negative weight", t.Service)
		}
		total += t.Weight
	}
	if len(r.Targets) > 0 && total <= 0 {
		return errors.New("has targets whose weights are all 0")
	}
	seen := make(map[string]bool, len(r.Shards))
	for _, s := range r.Shards {
		if !services[s] || seen[s] {
			return errors.Newf("shard %q is not a service or is duplicated", s)
		}
		seen[s] = true
	}
	return nil
}
