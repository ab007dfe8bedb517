package table

import (
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta is the difference between two configurations. Routes and services that differ are carried
// whole.
type Delta struct {
	From           uint64    `json:"From"`
	To             uint64    `json:"To"`
	Routes         []Route   `json:"Routes,omitempty"`
	RemoveRoutes   []string  `json:"RemoveRoutes,omitempty"`
	Services       []Service `json:"Services,omitempty"`
	RemoveServices []string  `json:"RemoveServices,omitempty"`
	Limits         Limits    `json:"Limits"`
}

// ErrBase means that a delta starts from another configuration.
var ErrBase = errors.New("table: delta starts from another version")

// Diff returns the delta that turns one configuration into another. It shares memory with newer,
// which must not change afterwards.
func Diff(older, newer *Config) *Delta {
	d := &Delta{From: older.Version, To: newer.Version, Limits: newer.Limits}
	d.Routes, d.RemoveRoutes = diff(older.Routes, newer.Routes, func(r *Route) string { return r.Name })
	d.Services, d.RemoveServices = diff(older.Services, newer.Services, func(s *Service) string { return s.Name })
	return d
}

func diff[T any](older, newer []T, name func(*T) string) (set []T, removed []string) {
	old := make(map[string]*T, len(older))
	for i := range older {
		old[name(&older[i])] = &older[i]
	}
	for i := range newer {
		k := name(&newer[i])
		if o := old[k]; o == nil || !reflect.DeepEqual(*o, newer[i]) {
			set = append(set, newer[i])
		}
		delete(old, k)
	}
	for i := range older {
		if k := name(&older[i]); old[k] != nil {
			removed = append(removed, k)
		}
	}
	return set, removed
}

// Apply returns the configuration that results from the delta, or ErrBase. The older one stays as it
// is.
func (d *Delta) Apply(older *Config) (*Config, error) {
	if older == nil || older.Version != d.From {
		return nil, ErrBase
	}
	c := &Config{Version: d.To, Limits: d.Limits}
	c.Routes = patch(older.Routes, d.Routes, d.RemoveRoutes, func(r *Route) string { return r.Name })
	c.Services = patch(older.Services, d.Services, d.RemoveServices, func(s *Service) string { return s.Name })
	return c, nil
}

func patch[T any](older, set []T, removed []string, name func(*T) string) []T {
	changed := make(map[string]bool, len(set)+len(removed))
	for i := range set {
		changed[name(&set[i])] = true
	}
	for _, k := range removed {
		changed[k] = true
	}
	kept := slices.DeleteFunc(slices.Clone(older), func(v T) bool { return changed[name(&v)] })
	return append(kept, set...)
}
