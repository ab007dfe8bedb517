package trial

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
)

// FromDocument returns a case with the kinds, the preset in force and the sizes of a published
// service, for a replay. Its servers take latency for a request; the rest of their behaviour is that
// of the other cases. All servers have the slots of the first one.
func FromDocument(d *conf.Document, service string, latency time.Duration) (Case, error) {
	s := d.Service(service)
	if s == nil {
		return Case{}, errors.Newf("trial: the document has no service %q", service)
	}
	if len(s.Servers) == 0 || len(s.Indexes) == 0 || len(s.Indexes[0].Shards) == 0 {
		return Case{}, errors.Newf("trial: service %q has no servers or no shards", service)
	}
	m := wideModel()
	m.Slots, m.ColdSlots, m.Service = s.Servers[0].Slots, s.Servers[0].ColdSlots, latency
	shards := s.Indexes[0].Shards
	c := Case{
		Name: service, About: "published service", Shards: len(shards), Replicas: len(shards[0].Servers),
		Servers: len(s.Servers), Model: m, Preset: d.InForce(),
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, Kind{
			Name: k.Name, Worth: k.Worth, Timeout: k.MaxTimeout.Std(), MinCoverage: k.MinCoverage, Idempotent: k.Idempotent,
		})
	}
	return c, nil
}
