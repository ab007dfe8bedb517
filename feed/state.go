package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// LapseTime is how long a server whose entry ran out while the platform was away stays in use.
	// Servers that live have registered again within 2 s of the platform's return.
	LapseTime = 2200 * time.Millisecond
	// logLimit is the number of changes that are kept for nodes that are behind. A node that needs
	// older ones gets the full state.
	logLimit = 4096
	// keptConfigs is the number of configurations from which a node gets a patch. Changes in quick
	// succession come several a second.
	keptConfigs = 16
	// tombstoneTime is how long the removal of a server is remembered, so that late news cannot
	// bring it back.
	tombstoneTime = time.Minute
)

// State is what this node knows of the platform. It is not safe for concurrent use.
type State struct {
	revision uint64
	// confirmed is the last time at which the state was known to be current.
	confirmed time.Time
	config    *table.Config
	// configs are the last configurations, from which nodes that are behind get a patch.
	configs []*table.Config
	servers map[string]*entry
	// out holds the failure domains that operators have taken out.
	out map[string]bool
	// revisions holds the revision of the last change by its key.
	revisions map[string]uint64
	gone      []tombstone
	log       []logged
	// logStart is the revision before the first change of the log.
	logStart uint64
}

type entry struct {
	Server
	// seen is when the entry last changed here.
	seen time.Time
	// heldUntil is set when the entry has lapsed and the server stays in use for a while.
	heldUntil time.Time
}

type tombstone struct {
	key string
	at  time.Time
}

type logged struct {
	to     uint64
	change Change
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		servers: make(map[string]*entry), out: make(map[string]bool), revisions: make(map[string]uint64),
	}
}

// Revision returns the platform's revision up to which the state is complete, 0 before the first
// delta.
func (s *State) Revision() uint64 { return s.revision }

// Position returns how far the state has come.
func (s *State) Position() Position {
	p := Position{Revision: s.revision}
	if s.config != nil {
		p.Version = s.config.Version
	}
	return p
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *table.Config { return s.config }

// Confirm records that the state was current at the given time.
func (s *State) Confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Confirmed returns the last time at which the state was known to be current.
func (s *State) Confirmed() time.Time { return s.confirmed }

// Apply takes over a delta and reports whether anything changed. It returns ErrGap when changes
// before the delta are missing. Changes that are older than what the state holds have no effect,
// so that a delta may arrive twice or out of order.
func (s *State) Apply(now time.Time, d Delta) (bool, error) {
	if !d.Full && d.From > s.revision {
		return false, ErrGap
	}
	if d.To < s.revision && d.Full {
		return false, nil
	}
	changes := slices.Clone(d.Changes)
	if d.Full {
		changes = append(changes, s.missing(d)...)
	}
	if err := s.unpack(changes); err != nil {
		return false, err
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	changed := false
	for i := range changes {
		if s.apply(now, &changes[i]) {
			s.remember(max(d.To, s.revision), changes[i])
			changed = true
		}
	}
	if d.Full {
		// Entries that came and went before the full state was read are not in the log, so that a node
		// which is behind must get the full state too.
		s.logStart, s.log = d.To, nil
	}
	s.revision = max(s.revision, d.To)
	s.bury(now)
	return changed, nil
}

// unpack replaces patches by the configurations that they lead to. A patch to a version that the
// state has already is left as it is.
func (s *State) unpack(changes []Change) error {
	for i := range changes {
		c := &changes[i]
		if c.Patch == nil || s.config != nil && c.Patch.To <= s.config.Version {
			continue
		}
		config, err := c.Patch.Apply(s.config)
		if err != nil {
			return errors.Wrapf(err, "feed: configuration %d", c.Patch.To)
		}
		c.Config, c.Patch = config, nil
	}
	return nil
}

// missing returns removals for what the state holds and a full delta does not list.
func (s *State) missing(d Delta) []Change {
	listed := make(map[string]bool, len(d.Changes))
	for i := range d.Changes {
		listed[d.Changes[i].key()] = true
	}
	var removals []Change
	for id, e := range s.servers {
		c := Change{Revision: d.To, Removed: id, Lapsed: d.Lapsed}
		if !listed[c.key()] && e.heldUntil.IsZero() {
			removals = append(removals, c)
		}
	}
	for name := range s.out {
		c := Change{Revision: d.To, In: name}
		if !listed[c.key()] {
			removals = append(removals, c)
		}
	}
	slices.SortFunc(removals, func(a, b Change) int { return cmp.Compare(a.key(), b.key()) })
	return removals
}

func (s *State) apply(now time.Time, c *Change) bool {
	key := c.key()
	if c.Revision <= s.revisions[key] {
		return false
	}
	switch {
	case c.Patch != nil:
		return false
	case c.Config != nil:
		if s.config != nil && c.Config.Version <= s.config.Version {
			return false
		}
		s.config = c.Config
		s.configs = append(s.configs, c.Config)
		s.configs = s.configs[max(0, len(s.configs)-keptConfigs):]
	case c.Server != nil:
		s.servers[c.Server.ID] = &entry{Server: *c.Server, seen: now}
	case c.Removed != "":
		if !s.removeServer(now, c) {
			return false
		}
	case c.Out != "":
		s.out[c.Out] = true
	case c.In != "":
		delete(s.out, c.In)
	}
	s.revisions[key] = c.Revision
	return true
}

func (s *State) removeServer(now time.Time, c *Change) bool {
	e := s.servers[c.Removed]
	if e == nil {
		return false
	}
	s.gone = append(s.gone, tombstone{c.key(), now})
	if c.Lapsed && !e.Draining {
		e.heldUntil = now.Add(LapseTime)
		return true
	}
	delete(s.servers, c.Removed)
	return true
}

// remember adds a change to the log.
func (s *State) remember(to uint64, c Change) {
	if len(s.log) >= 2*logLimit {
		drop := len(s.log) - logLimit
		s.logStart = s.log[drop-1].to
		s.log = slices.Clone(s.log[drop:])
	}
	s.log = append(s.log, logged{to, c})
}

// bury forgets removals that are long past.
func (s *State) bury(now time.Time) {
	for len(s.gone) > 0 && now.Sub(s.gone[0].at) > tombstoneTime {
		key := s.gone[0].key
		s.gone = s.gone[1:]
		if s.servers[key[len(keyServer):]] == nil {
			delete(s.revisions, key)
		}
	}
}

// Since returns the changes after a position, or the full state when they are no longer kept.
func (s *State) Since(p Position) Delta {
	if p.Revision == 0 || p.Revision < s.logStart {
		d := s.full()
		s.pack(&d, p.Version)
		return d
	}
	d := Delta{From: p.Revision, To: max(p.Revision, s.revision)}
	for i := range s.log {
		// Only the newest configuration matters.
		if c := &s.log[i].change; s.log[i].to > p.Revision && (c.Config == nil || c.Config == s.config) {
			d.Changes = append(d.Changes, *c)
		}
	}
	s.pack(&d, p.Version)
	return d
}

// pack replaces the configuration by the difference from that of a version, if that is kept.
func (s *State) pack(d *Delta, version uint64) {
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
	for _, id := range sortedKeys(s.servers) {
		e := s.servers[id]
		if !e.heldUntil.IsZero() {
			continue
		}
		c := Change{Server: &e.Server}
		c.Revision = s.revisions[c.key()]
		d.Changes = append(d.Changes, c)
	}
	for _, name := range sortedKeys(s.out) {
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
