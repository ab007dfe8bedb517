package conf

import (
	"reflect"

	"github.com/cockroachdb/errors"
)

// Errors of Delta.Apply. After either, the receiver asks for the whole document.
var (
	// ErrBase means that the delta starts from another document.
	ErrBase = errors.New("conf: delta starts from another version")
	// ErrHash means that the result differs from the sender's document.
	ErrHash = errors.New("conf: result of delta has another hash")
)

// Delta is the difference between two documents by section: each preset, failure domain, caller
// and service that differs is carried whole, and the others are left out.
type Delta struct {
	From uint64 `json:"From"`
	To   uint64 `json:"To"`
	// Hash is the hash of the document that results.
	Hash           string                 `json:"Hash"`
	Preset         string                 `json:"Preset"`
	Presets        Changes[Preset]        `json:"Presets,omitzero"`
	FailureDomains Changes[FailureDomain] `json:"FailureDomains,omitzero"`
	Callers        Changes[Caller]        `json:"Callers,omitzero"`
	Services       Changes[Service]       `json:"Services,omitzero"`
}

// Changes are the sections of one list that are new or differ, and the names of those that end.
type Changes[T any] struct {
	Set    []T      `json:"Set,omitempty"`
	Remove []string `json:"Remove,omitempty"`
}

// IsZero reports whether nothing changes.
func (c Changes[T]) IsZero() bool {
	return len(c.Set) == 0 && len(c.Remove) == 0
}

// Diff returns the delta that turns one document into another. Both must have passed Check. The
// delta shares memory with newer, which must not be changed afterwards.
func Diff(older, newer *Document) Delta {
	return Delta{
		From:           older.Version,
		To:             newer.Version,
		Hash:           Hash(newer),
		Preset:         newer.Preset,
		Presets:        changes(older.Presets, newer.Presets, presetName),
		FailureDomains: changes(older.FailureDomains, newer.FailureDomains, domainName),
		Callers:        changes(older.Callers, newer.Callers, callerName),
		Services:       changes(older.Services, newer.Services, serviceName),
	}
}

// Apply returns the document that results from the delta; older stays as it is and shares memory
// with the result. The result is not checked. Errors: ErrBase, ErrHash.
func (d Delta) Apply(older *Document) (*Document, error) {
	if older.Version != d.From || d.To <= d.From {
		return nil, errors.Wrapf(ErrBase, "delta from %d to %d, document %d", d.From, d.To, older.Version)
	}
	newer := &Document{
		Version:        d.To,
		Preset:         d.Preset,
		Presets:        d.Presets.apply(older.Presets, presetName),
		FailureDomains: d.FailureDomains.apply(older.FailureDomains, domainName),
		Callers:        d.Callers.apply(older.Callers, callerName),
		Services:       d.Services.apply(older.Services, serviceName),
	}
	if h := Hash(newer); h != d.Hash || h == "" {
		return nil, errors.Wrapf(ErrHash, "delta from %d to %d", d.From, d.To)
	}
	return newer, nil
}

func changes[T any](older, newer []T, name func(*T) string) Changes[T] {
	before := byName(older, name)
	var c Changes[T]
	for i := range newer {
		n := name(&newer[i])
		if o, ok := before[n]; !ok || !reflect.DeepEqual(o, &newer[i]) {
			c.Set = append(c.Set, newer[i])
		}
		delete(before, n)
	}
	c.Remove = sortedKeys(before)
	return c
}

// apply keeps the order of the sections that stay and appends new ones.
func (c Changes[T]) apply(older []T, name func(*T) string) []T {
	set := byName(c.Set, name)
	removed := make(map[string]bool, len(c.Remove))
	for _, n := range c.Remove {
		removed[n] = true
	}
	newer := make([]T, 0, len(older)+len(c.Set))
	for i := range older {
		n := name(&older[i])
		if removed[n] {
			continue
		}
		if x, ok := set[n]; ok {
			newer = append(newer, *x)
			delete(set, n)
			continue
		}
		newer = append(newer, older[i])
	}
	for i := range c.Set {
		n := name(&c.Set[i])
		if x, ok := set[n]; ok {
			newer = append(newer, *x)
			delete(set, n)
		}
	}
	return newer
}

func byName[T any](all []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(all))
	for i := range all {
		m[name(&all[i])] = &all[i]
	}
	return m
}
