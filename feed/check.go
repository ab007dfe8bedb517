package feed

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Bounds of a server entry. Other writers may leave entries in the list, and a value outside the bounds cannot be from
// a backend server.
const (
	// maxNameBytes is the maximum length of an ID, a service or a failure domain. A store key has at most 200 bytes.
	maxNameBytes = 200
	// maxSlots is the maximum concurrency limit of a server.
	maxSlots = 1 << 16
	// maxCold is the maximum remaining time of a cold start.
	maxCold = time.Hour
)

// latestStart is the first start time that is out of range: JSON has no representation of later years.
var latestStart = time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC)

// Check returns an error that describes the first field of the entry that is out of bounds, or nil. A server that has
// passed it can be sent to other nodes and named in a request header.
func (s *Server) Check() error {
	for _, x := range []struct{ field, value string }{
		{"ID", s.ID}, {"service", s.Service}, {"failure domain", s.FailureDomain},
	} {
		if !isName(x.value) {
			return errors.Newf("feed: server %q: invalid %s", s.ID, x.field)
		}
	}
	a := s.Address.Addr()
	switch {
	case !a.IsValid() || s.Address.Port() == 0 || a.IsUnspecified() || a.IsMulticast() || a.Zone() != "":
		return errors.Newf("feed: server %q: nothing can be sent to address %s", s.ID, s.Address)
	case s.Slots < 1 || s.Slots > maxSlots:
		return errors.Newf("feed: server %q: %d slots are out of range", s.ID, s.Slots)
	case s.Cold < 0 || s.Cold.Std() > maxCold:
		return errors.Newf("feed: server %q: cold time %v is out of range", s.ID, s.Cold.Std())
	case !s.StartTime.IsZero() && (s.StartTime.Before(time.Unix(0, 0)) || !s.StartTime.Before(latestStart)):
		return errors.Newf("feed: server %q: start time is out of range", s.ID)
	}
	return nil
}

// isName reports whether the text can be an ID or a name: valid UTF-8 without control characters, and without spaces at
// its ends, which a header would lose.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s) && strings.TrimSpace(s) == s &&
		!strings.ContainsFunc(s, unicode.IsControl)
}
