package feed

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision is a position in the platform's data. The platform numbers its changes. When it comes back from a copy, it has
// lost its last changes, and gives their numbers out again in a new era. A Revision has the era in its upper bits, so that
// one of a later era is greater, and that era 0 of a platform without eras is a plain number.
type Revision uint64

// numberBits is the number of bits of the number of a change: enough for 8,000 years of 1,000 changes a second.
const numberBits = 48

// MaxEra is the greatest era of a Revision.
const MaxEra = 1<<(64-numberBits) - 1

// NewRevision returns the position of a change. It returns an error if the era or the number is too great.
func NewRevision(era, number uint64) (Revision, error) {
	if era > MaxEra || number >= 1<<numberBits {
		return 0, errors.Newf("feed: revision %d of era %d is out of range", number, era)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the platform's number of the change.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the number, after the era and a slash if the platform has eras.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + strconv.FormatUint(r.Number(), 10)
}

// ErrRestored is returned when the platform has come back from a copy, so that a full load of its new era is required.
var ErrRestored = errors.New("feed: the platform has come back from a copy")

// ErrEarlierEra is returned when an answer of the platform is of an earlier era than the replica, so that it is not used.
var ErrEarlierEra = errors.New("feed: the platform's answer is of an earlier era")

// restoreHoldTime is how long what is known holds against the copy from which the platform has come back. Operators and
// servers write again within that time what the platform has lost.
const restoreHoldTime = 10 * time.Second

// doubtfulServer is a server of the copy that was known to be over. It is used from the given time on, unless its entry changes
// before.
type doubtfulServer struct {
	Change
	until time.Time
	// known is the number of the last change that was known of the server.
	known uint64
}

// restore prepares the changes of the first full delta of a new era, and returns those to be applied. The copy lacks the last
// changes of the era before, which this replica may have:
//   - A server that was removed, drained or restarted since is listed as it was. It is doubtful, and what is known holds.
//   - A server that is not listed may have registered after the copy. It is treated like a lapsed entry.
//   - A failure domain that is not listed may have been taken out after the copy. It stays out for restoreHoldTime.
//
// A draining server and a failure domain that is out are taken as listed, since they may have been written after the restore.
// The configuration needs no rule, as its version never decreases.
func (s *State) restore(now time.Time, d Delta, changes []Change) []Change {
	for i := range changes {
		changes[i].Doubtful = changes[i].Doubtful || s.isOver(&changes[i])
	}
	for _, c := range s.impliedRemovals(d) {
		if c.In == "" {
			c.Lapsed = true
			changes = append(changes, c)
			continue
		}
		s.revisions[c.key()], s.out[c.In] = d.To, now.Add(restoreHoldTime)
	}
	return changes
}

// isOver reports whether a change lists a server as it was before a later change that is known. Numbers of two eras can be
// compared up to the copy: an entry of the copy has a lower number than a change after it. A server that the replica lacks,
// or only holds, although it is complete beyond that number, has been removed.
func (s *State) isOver(c *Change) bool {
	if c.Server == nil || c.Server.Draining {
		return false
	}
	known, number := s.servers[c.Server.ID], c.Revision.Number()
	if known == nil || !known.heldUntil.IsZero() {
		return number <= s.revision.Number()
	}
	return number < s.knownNumber(c.key()) && (c.Server.StartTime.Before(known.StartTime) ||
		known.Draining && c.Server.StartTime.Equal(known.StartTime))
}

// knownNumber returns the number of the last change that is known of a key, 0 if there is none.
func (s *State) knownNumber(key string) uint64 {
	if x, ok := s.doubtful[key]; ok {
		return x.known
	}
	return s.revisions[key].Number()
}

// doubt keeps a server aside. What is known of it holds until restoreHoldTime has passed or its entry changes.
func (s *State) doubt(now time.Time, c *Change) {
	key := c.key()
	known := max(s.knownNumber(key), c.Revision.Number()+1)
	s.doubtful[key] = doubtfulServer{*c, now.Add(restoreHoldTime), known}
	s.revisions[key] = c.Revision
}

// acceptDoubtful applies the doubtful entries whose time has come, and returns the earliest time of the others, zero if there
// are none.
func (s *State) acceptDoubtful(now time.Time) time.Time {
	var next time.Time
	for _, key := range sortedKeys(s.doubtful) {
		x := s.doubtful[key]
		switch {
		case !now.Before(x.until):
			delete(s.doubtful, key)
			s.set(now, &x.Change)
		case next.IsZero() || x.until.Before(next):
			next = x.until
		}
	}
	return next
}
