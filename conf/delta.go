package conf

import (
	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
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
	Routes         Changes[table.Route]   `json:"Routes,omitzero"`
}

// Changes are the sections of one list that are new or differ, and the names of those that end.
type Changes[T any] = table.Changes[T]

// Diff returns the delta that turns one document into another. Both must have passed Check. The
// delta shares memory with newer, which must not be changed afterwards.
func Diff(older, newer *Document) Delta {
	return Delta{
		From:           older.Version,
		To:             newer.Version,
		Hash:           Hash(newer),
		Preset:         newer.Preset,
		Presets:        table.ChangesOf(older.Presets, newer.Presets, presetName),
		FailureDomains: table.ChangesOf(older.FailureDomains, newer.FailureDomains, domainName),
		Callers:        table.ChangesOf(older.Callers, newer.Callers, callerName),
		Services:       table.ChangesOf(older.Services, newer.Services, serviceName),
		Routes:         table.ChangesOf(older.Routes, newer.Routes, routeName),
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
		Presets:        d.Presets.Apply(older.Presets, presetName),
		FailureDomains: d.FailureDomains.Apply(older.FailureDomains, domainName),
		Callers:        d.Callers.Apply(older.Callers, callerName),
		Services:       d.Services.Apply(older.Services, serviceName),
		Routes:         d.Routes.Apply(older.Routes, routeName),
	}
	if h := Hash(newer); h != d.Hash || h == "" {
		return nil, errors.Wrapf(ErrHash, "delta from %d to %d", d.From, d.To)
	}
	return newer, nil
}
