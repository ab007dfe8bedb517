package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/arbutusthread/arbutusthread/table"
)

// Hash returns the hex SHA-256 hash of the document. It does not depend on the order of presets, failure
// domains, callers, services and routes, so a node that applied deltas has the same hash as one that read
// the full document. It is empty for a document that cannot be encoded as JSON, which Check reports.
func Hash(d *Document) string {
	h := sha256.New()
	writeField(h, strconv.FormatUint(d.Version, 10))
	writeField(h, d.Preset)
	ok := writeSections(h, d.Presets, presetName) &&
		writeSections(h, d.FailureDomains, domainName) &&
		writeSections(h, d.Callers, callerName) &&
		writeSections(h, d.Services, serviceName)
	if len(d.Routes) > 0 {
		// Routes are left out when there are none, so that documents from before routes existed keep their hash.
		ok = ok && writeSections(h, d.Routes, routeName)
	}
	if !ok {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil))
}

// writeSections writes the number of sections and then the sections sorted by name. With the number, the
// hash changes when a section moves to another list.
func writeSections[T any](h hash.Hash, all []T, name func(*T) string) bool {
	order := make([]*T, len(all))
	for i := range all {
		order[i] = &all[i]
	}
	slices.SortStableFunc(order, func(a, b *T) int { return cmp.Compare(name(a), name(b)) })
	writeField(h, strconv.Itoa(len(order)))
	for _, x := range order {
		b, err := json.Marshal(x)
		if err != nil {
			return false
		}
		writeField(h, string(b))
	}
	return true
}

// writeField writes the length and then the text, so that the boundaries of fields are unambiguous.
func writeField(h hash.Hash, s string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(s)))
	_, _ = io.WriteString(h, ":")
	_, _ = io.WriteString(h, s)
}

func presetName(p *Preset) string        { return p.Name }
func routeName(r *table.Route) string    { return r.Name }
func domainName(f *FailureDomain) string { return f.Name }
func callerName(c *Caller) string        { return c.Name }
func serviceName(s *Service) string      { return s.Name }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
