package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// LapseTime is how long a server whose entry ran out while the platform was away stays in use.
	// Servers that live have registered again within 2 s of the platform's return.
	LapseTime = 2200 * time.Millisecond
	// logLimit is the number of changes that are kept for nodes that are behind. A node that needs
	// older ones gets the full state.
	logLimit = 4096
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
	servers   map[string]*entry
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
	changes := d.Changes
	if d.Full {
		changes = append(slices.Clone(changes), s.missing(d)...)
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	changed := false
	for i := range changes {
		if s.apply(now, &changes[i]) {
			s.remember(max(d.To, s.revision), changes[i])
			changed = true
		}
	}
	if s.revision == 0 {
		s.logStart, s.log = d.To, nil
	}
	s.revision = max(s.revision, d.To)
	s.bury(now)
	return changed, nil
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
	case c.Config != nil:
		if s.config != nil && c.Config.Version <= s.config.Version {
			return false
		}
		s.config = c.Config
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
		if s.servers[key[len("server/"):]] == nil {
			delete(s.revisions, key)
		}
	}
}

// Since returns the changes after a revision, or the full state when they are no longer kept.
func (s *State) Since(revision uint64) Delta {
	if revision == 0 || revision < s.logStart {
		return s.full()
	}
	d := Delta{From: revision, To: max(revision, s.revision)}
	for i := range s.log {
		if s.log[i].to > revision {
			d.Changes = append(d.Changes, s.log[i].change)
		}
	}
	return d
}

func (s *State) full() Delta {
	d := Delta{To: s.revision, Full: true}
	if s.config != nil {
		d.Changes = append(d.Changes, Change{Revision: s.revisions["config"], Config: s.config})
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
