package table

import "github.com/cockroachdb/errors"

// Delta is the difference between two configurations. Routes and services that differ are carried
// whole.
type Delta struct {
	From     uint64           `json:"From"`
	To       uint64           `json:"To"`
	Routes   Changes[Route]   `json:"Routes,omitzero"`
	Services Changes[Service] `json:"Services,omitzero"`
	Limits   Limits           `json:"Limits"`
}

// ErrBase means that a delta starts from another configuration.
var ErrBase = errors.New("table: delta starts from another version")

func routeName(r *Route) string     { return r.Name }
func serviceName(s *Service) string { return s.Name }

// Diff returns the delta that turns one configuration into another. It shares memory with newer,
// which must not change afterwards.
func Diff(older, newer *Config) *Delta {
	return &Delta{
		From: older.Version, To: newer.Version, Limits: newer.Limits,
		Routes:   ChangesOf(older.Routes, newer.Routes, routeName),
		Services: ChangesOf(older.Services, newer.Services, serviceName),
	}
}

// Apply returns the configuration that results from the delta, or ErrBase. The older one stays as it
// is.
func (d *Delta) Apply(older *Config) (*Config, error) {
	if older == nil || older.Version != d.From {
		return nil, ErrBase
	}
	return &Config{
		Version: d.To, Limits: d.Limits,
		Routes:   d.Routes.Apply(older.Routes, routeName),
		Services: d.Services.Apply(older.Services, serviceName),
	}, nil
}
