package table

import "github.com/cockroachdb/errors"

// Delta is the difference between two configurations. It contains changed routes and services in full.
type Delta struct {
	From     uint64           `json:"From"`
	To       uint64           `json:"To"`
	Routes   Changes[Route]   `json:"Routes,omitzero"`
	Services Changes[Service] `json:"Services,omitzero"`
	Limits   Limits           `json:"Limits"`
}

// ErrVersionMismatch means that a delta does not start from the version of the configuration.
var ErrVersionMismatch = errors.New("table: base version of delta does not match")

func routeName(r *Route) string     { return r.Name }
func serviceName(s *Service) string { return s.Name }

// Diff returns the delta that turns the older configuration into the newer one. It shares memory with newer,
// which must not change afterwards.
func Diff(older, newer *Config) *Delta {
	return &Delta{
		From: older.Version, To: newer.Version, Limits: newer.Limits,
		Routes:   DiffList(older.Routes, newer.Routes, routeName),
		Services: DiffList(older.Services, newer.Services, serviceName),
	}
}

// Apply returns a new configuration with the delta applied. It returns ErrVersionMismatch if older is nil or
// its version is not d.From. It does not modify older.
func (d *Delta) Apply(older *Config) (*Config, error) {
	if older == nil || older.Version != d.From {
		return nil, ErrVersionMismatch
	}
	return &Config{
		Version: d.To, Limits: d.Limits,
		Routes:   d.Routes.Apply(older.Routes, routeName),
		Services: d.Services.Apply(older.Services, serviceName),
	}, nil
}
