package feed

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// lapseHoldTime is how long a server stays in use after its entry lapsed during a platform outage.
	// Live servers register again within 2 s after the platform has recovered.
	lapseHoldTime = 2200 * time.Millisecond
	// logLimit is the number of changes that are always kept for nodes that are behind. A node that needs
	// older ones gets a full delta. The log is trimmed at twice the limit.
	logLimit = 4096
	// maxConfigs is the number of recent configurations for which a node can be sent a patch. Changes in
	// quick succession arrive at several a second.
	maxConfigs = 16
	// tombstoneTTL is how long the removal of an entry is kept, so that a late older change cannot restore it.
	tombstoneTTL = time.Minute
)

// State is a node's replica of the platform's data. It is not safe for concurrent use.
type State struct {
	revision Revision
	// confirmed is the last time at which the state was confirmed as current.
	confirmed time.Time
	config    *table.Config
	// configs are the last maxConfigs configurations, the bases of patches for nodes that are behind.
	configs []*table.Config
	servers map[string]*entry
	// out holds the failure domains that operators have taken out. The time is zero or, for one that the platform lists no
	// longer since it came back from a copy, the time until which it stays out.
	out map[string]time.Time
	// doubtful holds, by key, servers of a copy that were known to be over.
	doubtful map[string]doubtfulServer
	// revisions holds the revision of the last change of each key.
	revisions  map[string]Revision
	tombstones []tombstone
	log        []logEntry
	// logStart is the revision before the first change of the log.
	logStart Revision
}

type entry struct {
	Server
	// updatedAt is the local time at which the entry last changed.
	updatedAt time.Time
	// heldUntil is the time until which the server stays in use after its entry has lapsed, zero while it has not.
	heldUntil time.Time
}

type tombstone struct {
	key       string
	removedAt time.Time
}

type logEntry struct {
	to     Revision
	change Change
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		servers: make(map[string]*entry), out: make(map[string]time.Time), doubtful: make(map[string]doubtfulServer),
		revisions: make(map[string]Revision),
	}
}

// Revision returns the platform revision up to which the state is complete, 0 before the first delta.
func (s *State) Revision() Revision { return s.revision }

// Position returns the revision of the state and the version of its configuration.
func (s *State) Position() Position {
	p := Position{Revision: s.revision}
	if s.config != nil {
		p.Version = s.config.Version
	}
	return p
}

// Config returns the current configuration, or nil before the first.
func (s *State) Config() *table.Config { return s.config }

// Confirm records that the state was current at the given time.
func (s *State) Confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Confirmed returns the last time at which the state was confirmed as current.
func (s *State) Confirmed() time.Time { return s.confirmed }

// Apply applies a delta and reports whether the state changed. It returns ErrGap when changes before the delta are missing,
// as they are before the first full delta of an era, and an error when a patch does not apply. Changes that are not newer
// than the state have no effect, so that deltas may arrive more than once or out of order.
func (s *State) Apply(now time.Time, d Delta) (bool, error) {
	if !d.Full && (d.From > s.revision || d.To.Era() > s.revision.Era()) {
		return false, ErrGap
	}
	if d.To < s.revision && d.Full {
		return false, nil
	}
	changes := slices.Clone(d.Changes)
	removeInvalid(changes)
	switch {
	case d.Full && s.revision > 0 && d.To.Era() > s.revision.Era():
		changes = s.restore(now, d, changes)
	case d.Full:
		changes = append(changes, s.impliedRemovals(d)...)
	}
	if err := s.resolvePatches(changes); err != nil {
		return false, err
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	changed := false
	for i := range changes {
		if s.apply(now, &changes[i]) {
			s.appendLog(max(d.To, s.revision), changes[i])
			changed = true
		}
	}
	if d.Full {
		// Entries that were added and removed before the full delta was read are missing from the log, so a
		// node that is behind needs a full delta too.
		s.logStart, s.log = d.To, nil
	}
	s.revision = max(s.revision, d.To)
	s.expireTombstones(now)
	return changed, nil
}

// removeInvalid replaces each entry that fails Server.Check by the removal of its server. A server whose entry names
// nothing that can be used counts as not listed until a valid entry follows.
func removeInvalid(changes []Change) {
	for i := range changes {
		if c := &changes[i]; c.Server != nil && c.Server.Check() != nil {
			*c = Change{Revision: c.Revision, Removed: c.Server.ID}
		}
	}
}

// resolvePatches replaces each patch by the resulting configuration. A patch to a version that the state
// already has, or an older one, is left as it is.
func (s *State) resolvePatches(changes []Change) error {
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

// impliedRemovals returns the removals that a full delta implies: entries of the state that it does not list.
func (s *State) impliedRemovals(d Delta) []Change {
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
	for name, until := range s.out {
		c := Change{Revision: d.To, In: name}
		if !listed[c.key()] && until.IsZero() {
			removals = append(removals, c)
		}
	}
	for key, x := range s.doubtful {
		e := s.servers[x.Server.ID]
		if !listed[key] && (e == nil || !e.heldUntil.IsZero()) {
			removals = append(removals, Change{Revision: d.To, Removed: x.Server.ID, Lapsed: e != nil})
		}
	}
	slices.SortFunc(removals, func(a, b Change) int { return cmp.Compare(a.key(), b.key()) })
	return removals
}

func (s *State) apply(now time.Time, c *Change) bool {
	key := c.key()
	if c.Revision <= s.revisions[key] && key != keyConfig {
		return false
	}
	if c.Patch != nil {
		return false
	}
	if c.Doubtful && c.Server != nil {
		s.doubt(now, c)
		return true
	}
	_, doubted := s.doubtful[key]
	delete(s.doubtful, key)
	if !s.set(now, c) {
		if !doubted {
			return false
		}
		// The removal of an entry that was kept aside concerns nodes that use it.
		s.tombstones = append(s.tombstones, tombstone{key, now})
	}
	s.revisions[key] = c.Revision
	return true
}

// set sets the entry that a change concerns, and reports whether it has changed.
func (s *State) set(now time.Time, c *Change) bool {
	switch {
	case c.Config != nil:
		if s.config != nil && c.Config.Version <= s.config.Version || c.Config.Check() != nil {
			return false
		}
		s.config = c.Config
		if len(s.configs) == maxConfigs {
			s.configs = slices.Delete(s.configs, 0, 1)
		}
		s.configs = append(s.configs, c.Config)
	case c.Server != nil:
		s.servers[c.Server.ID] = &entry{Server: *c.Server, updatedAt: now}
	case c.Removed != "":
		if !s.removeServer(now, c) {
			return false
		}
	case c.Out != "":
		s.out[c.Out] = time.Time{}
	case c.In != "":
		s.tombstones = append(s.tombstones, tombstone{c.key(), now})
		delete(s.out, c.In)
	}
	return true
}

func (s *State) removeServer(now time.Time, c *Change) bool {
	e := s.servers[c.Removed]
	if e == nil {
		return false
	}
	s.tombstones = append(s.tombstones, tombstone{c.key(), now})
	if c.Lapsed && !e.Draining {
		e.heldUntil = now.Add(lapseHoldTime)
		return true
	}
	delete(s.servers, c.Removed)
	return true
}

// appendLog adds a change to the log, and trims the log to logLimit changes when it has twice as many. A configuration
// replaces the one before it in the log, which is never sent again.
func (s *State) appendLog(to Revision, c Change) {
	if c.Config != nil {
		s.log = slices.DeleteFunc(s.log, func(e logEntry) bool { return e.change.Config != nil })
	}
	if len(s.log) >= 2*logLimit {
		drop := len(s.log) - logLimit
		s.logStart = s.log[drop-1].to
		s.log = slices.Clone(s.log[drop:])
	}
	s.log = append(s.log, logEntry{to, c})
}

// expireTombstones drops tombstones older than tombstoneTTL.
func (s *State) expireTombstones(now time.Time) {
	for len(s.tombstones) > 0 && now.Sub(s.tombstones[0].removedAt) > tombstoneTTL {
		key := s.tombstones[0].key
		s.tombstones = s.tombstones[1:]
		if !s.hasEntry(key) {
			delete(s.revisions, key)
		}
	}
}

// hasEntry reports whether the replica has an entry of a server or failure domain.
func (s *State) hasEntry(key string) bool {
	if id, ok := strings.CutPrefix(key, keyServer); ok {
		return s.servers[id] != nil
	}
	_, out := s.out[strings.TrimPrefix(key, keyDomain)]
	return out
}
