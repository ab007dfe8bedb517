package trial

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
)

// FromDocument returns a case for a replay, with the kinds, the active preset and the numbers of shards,
// replicas and servers of a published service. latency is the median service time of its servers; the
// remaining model parameters are those of the other cases. All servers get the slots of the first one.
// It returns an error if the service is unknown or has no servers or shards.
func FromDocument(d *conf.Document, service string, latency time.Duration) (Case, error) {
	s := d.Service(service)
	if s == nil {
		return Case{}, errors.Newf("trial: the configuration has no service %q", service)
	}
	if len(s.Servers) == 0 || len(s.Indexes) == 0 || len(s.Indexes[0].Shards) == 0 {
		return Case{}, errors.Newf("trial: service %q has no servers or no shards", service)
	}
	m := wideModel()
	m.Slots, m.ColdSlots, m.ServiceTime = s.Servers[0].Slots, s.Servers[0].ColdSlots, latency
	shards := s.Indexes[0].Shards
	c := Case{
		Name: service, About: "service of a published configuration", Shards: len(shards), Replicas: len(shards[0].Servers),
		Servers: len(s.Servers), Model: m, Preset: d.ActivePreset(),
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, Kind{
			Name: k.Name, Worth: k.Worth, Timeout: k.MaxTimeout.Std(), MinCoverage: k.MinCoverage, Idempotent: k.Idempotent,
		})
	}
	return c, nil
}
