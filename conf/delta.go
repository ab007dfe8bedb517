package conf

import (
	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
)

// Errors of Delta.Apply. After either, the receiver requests the full document.
var (
	// ErrBaseMismatch means that the base version of the delta is not the version of the document.
	ErrBaseMismatch = errors.New("conf: base version of delta does not match")
	// ErrHashMismatch means that the result differs from the sender's document.
	ErrHashMismatch = errors.New("conf: hash of delta result does not match")
)

// Delta is the difference between two documents by section: it contains each preset, failure domain,
// caller, service and route that differs in full, and omits the others.
type Delta struct {
	From uint64 `json:"From"`
	To   uint64 `json:"To"`
	// Hash is the hash of the resulting document.
	Hash           string                 `json:"Hash"`
	Preset         string                 `json:"Preset"`
	Presets        Changes[Preset]        `json:"Presets,omitzero"`
	FailureDomains Changes[FailureDomain] `json:"FailureDomains,omitzero"`
	Callers        Changes[Caller]        `json:"Callers,omitzero"`
	Services       Changes[Service]       `json:"Services,omitzero"`
	Routes         Changes[table.Route]   `json:"Routes,omitzero"`
}

// Changes are the sections of one list that are new or differ, and the names of the removed ones.
type Changes[T any] = table.Changes[T]

// Diff returns the delta from older to newer. Both documents must have passed Check. The delta shares
// memory with newer, which must not be changed afterwards.
func Diff(older, newer *Document) Delta {
	return Delta{
		From:           older.Version,
		To:             newer.Version,
		Hash:           Hash(newer),
		Preset:         newer.Preset,
		Presets:        table.DiffList(older.Presets, newer.Presets, presetName),
		FailureDomains: table.DiffList(older.FailureDomains, newer.FailureDomains, domainName),
		Callers:        table.DiffList(older.Callers, newer.Callers, callerName),
		Services:       table.DiffList(older.Services, newer.Services, serviceName),
		Routes:         table.DiffList(older.Routes, newer.Routes, routeName),
	}
}

// Apply returns the result of applying the delta to older, which is not changed and shares memory with
// the result. It does not validate the result. It returns ErrBaseMismatch or ErrHashMismatch.
func (d Delta) Apply(older *Document) (*Document, error) {
	if older.Version != d.From || d.To <= d.From {
		return nil, errors.Wrapf(ErrBaseMismatch, "delta from version %d to %d, document version %d", d.From, d.To, older.Version)
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
		return nil, errors.Wrapf(ErrHashMismatch, "delta from version %d to %d", d.From, d.To)
	}
	return newer, nil
}
