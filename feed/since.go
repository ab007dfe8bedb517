package feed

import (
	"slices"

	"github.com/arbutusthread/arbutusthread/table"
)

// Since returns the changes after a position, or a full delta when the changes are no longer kept. The
// configuration is sent as a patch when the receiver's version is still kept.
func (s *State) Since(p Position) Delta {
	if p.Revision == 0 || p.Revision < s.logStart {
		d := s.full()
		s.patchConfig(&d, p.Version)
		return d
	}
	d := Delta{From: p.Revision, To: max(p.Revision, s.revision)}
	for i := range s.log {
		if s.log[i].to > p.Revision {
			d.Changes = append(d.Changes, s.log[i].change)
		}
	}
	if s.config != nil && s.config.Version > p.Version && !slices.ContainsFunc(d.Changes, func(c Change) bool { return c.Config != nil }) {
		// The receiver has read the platform after it came back from a copy with an older configuration.
		d.Changes = append(d.Changes, Change{Revision: s.revisions[keyConfig], Config: s.config})
	}
	s.patchConfig(&d, p.Version)
	return d
}

// patchConfig replaces the configuration in a delta by a patch from the given version, if that is still kept.
func (s *State) patchConfig(d *Delta, version uint64) {
	i := slices.IndexFunc(s.configs, func(c *table.Config) bool { return c.Version == version })
	if i < 0 || s.configs[i] == s.config {
		return
	}
	for k := range d.Changes {
		if c := &d.Changes[k]; c.Config != nil {
			c.Patch, c.Config = table.Diff(s.configs[i], c.Config), nil
		}
	}
}

func (s *State) full() Delta {
	d := Delta{To: s.revision, Full: true}
	if s.config != nil {
		d.Changes = append(d.Changes, Change{Revision: s.revisions[keyConfig], Config: s.config})
	}
	for _, key := range sortedKeys(s.doubtful) {
		d.Changes = append(d.Changes, s.doubtful[key].Change)
	}
	for _, id := range sortedKeys(s.servers) {
		e := s.servers[id]
		c := Change{Server: &e.Server}
		if _, doubtful := s.doubtful[c.key()]; doubtful || !e.heldUntil.IsZero() {
			continue
		}
		c.Revision = s.revisions[c.key()]
		d.Changes = append(d.Changes, c)
	}
	for _, name := range sortedKeys(s.out) {
		if !s.out[name].IsZero() {
			continue
		}
		c := Change{Out: name}
		c.Revision = s.revisions[c.key()]
		d.Changes = append(d.Changes, c)
	}
	return d
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
