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

// Hash returns the SHA-256 hash of the document in hex. It does not depend on the order of
// presets, failure domains, callers and services, so that a node that applied deltas has the same
// hash as one that read the whole document. It is empty for a document that JSON cannot carry,
// which Check reports.
func Hash(d *Document) string {
	h := sha256.New()
	writeField(h, strconv.FormatUint(d.Version, 10))
	writeField(h, d.Preset)
	ok := writeSections(h, d.Presets, presetName) &&
		writeSections(h, d.FailureDomains, domainName) &&
		writeSections(h, d.Callers, callerName) &&
		writeSections(h, d.Services, serviceName)
	if len(d.Routes) > 0 {
		// A document without routes has the hash that it had before documents could have any.
		ok = ok && writeSections(h, d.Routes, routeName)
	}
	if !ok {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil))
}

// writeSections writes the sections in the order of their names, with their number first, so
// that a section cannot move between lists without a change of the hash.
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

// writeField writes the length before the text, which keeps neighbouring fields apart.
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
