package query

import (
	"slices"
	"strings"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// ErrPartialMismatch means that a partial result does not belong to the plan.
var ErrPartialMismatch = errors.New("query: partial result does not belong to the plan")

// Merge combines the partial results of the slices of a plan. Each slice counts at most once.
type Merge struct {
	plan    *Plan
	settled map[int]bool
	// seen is used only by check. Reusing it for all parts saves an allocation for each.
	seen       []bool
	top        *Top
	answer     wire.Answer
	mayHaveRun bool
	sends      int
	stale      bool
	reason     wire.Reason
}

// NewMerge returns an empty Merge for the plan.
func NewMerge(p *Plan) *Merge {
	return &Merge{
		plan: p, settled: make(map[int]bool, len(p.Index.Parts)), top: NewTop(p.Query.TopK),
		answer: wire.Answer{
			RequestID: p.Query.RequestID, Outcome: wire.Answered, IndexVersion: p.Index.Version,
			Coverage: wire.Coverage{Shards: p.Index.Len(), Covered: make([]string, 0, p.Index.Len())},
		},
	}
}

// Add merges the partial result of a part. It returns ErrPartialMismatch, and merges nothing, if the partial
// result names another request, slice or version, has more than TopK hits, or does not list each shard of the
// part exactly once. A second partial result of the same slice is ignored.
func (m *Merge) Add(part SlicePart, p *wire.SliceResult) error {
	if m.settled[part.Slice] {
		return nil
	}
	if err := m.check(part, p); err != nil {
		return err
	}
	m.settled[part.Slice] = true
	m.top.Add(p.Hits)
	m.answer.Total += p.Total
	m.answer.Coverage.Covered = append(m.answer.Coverage.Covered, p.Covered...)
	m.answer.Coverage.Missing = append(m.answer.Coverage.Missing, p.Missing...)
	m.mayHaveRun = m.mayHaveRun || p.Sent
	m.sends += p.Sends
	m.stale = m.stale || p.StaleVersion
	return nil
}

func (m *Merge) check(part SlicePart, p *wire.SliceResult) error {
	if p.RequestID != m.plan.Query.RequestID || p.Slice != part.Slice || p.IndexVersion != m.plan.Index.Version {
		return ErrPartialMismatch
	}
	if len(p.Hits) > m.plan.Query.TopK || len(p.Covered)+len(p.Missing) != len(part.Shards) {
		return ErrPartialMismatch
	}
	m.seen = append(m.seen[:0], make([]bool, len(part.Shards))...)
	for _, name := range p.Covered {
		if !m.markSeen(part, name) {
			return ErrPartialMismatch
		}
	}
	for i := range p.Missing {
		if !m.markSeen(part, p.Missing[i].Shard) {
			return ErrPartialMismatch
		}
	}
	return nil
}

// markSeen reports whether the shard belongs to the part and has not been listed before, and marks it as listed.
func (m *Merge) markSeen(part SlicePart, name string) bool {
	h, ok := m.plan.Index.shards[name]
	if !ok || h.Slice != part.Slice || m.seen[h.position] {
		return false
	}
	m.seen[h.position] = true
	return true
}

// Fail records that a part has no result because of the failure. Unless the failure has NotRun set, shard
// requests may have been sent.
func (m *Merge) Fail(part SlicePart, f *wire.Failure) {
	if m.settled[part.Slice] {
		return
	}
	m.settled[part.Slice] = true
	m.mayHaveRun = m.mayHaveRun || !f.NotRun
	m.reason = f.Reason
	m.stale = m.stale || f.Reason == wire.ReasonVersion
	for _, s := range part.Shards {
		m.answer.Coverage.Missing = append(m.answer.Coverage.Missing, wire.MissingShard{Shard: s, Reason: f.Reason})
	}
}

// Sends returns the number of shard requests that were sent for the merged parts.
func (m *Merge) Sends() int {
	return m.sends
}

// Stale reports whether a server no longer has the index version of the plan.
func (m *Merge) Stale() bool {
	return m.stale
}

// Answer returns the answer, or a refusal if it covers no shard or less than the MinCoverage of the kind. The
// refusal says "not run" only if no shard request can have been sent.
func (m *Merge) Answer() (*wire.Answer, *wire.Failure) {
	m.answer.Hits = m.top.Hits()
	slices.Sort(m.answer.Coverage.Covered)
	slices.SortFunc(m.answer.Coverage.Missing, func(a, b wire.MissingShard) int {
		return strings.Compare(a.Shard, b.Shard)
	})
	if len(m.answer.Coverage.Covered) > 0 && m.answer.Coverage.Fraction() >= m.plan.Kind.MinCoverage {
		return &m.answer, nil
	}
	return nil, m.refusal()
}

func (m *Merge) refusal() *wire.Failure {
	c := m.answer.Coverage
	reason := wire.ReasonCoverage
	if len(c.Covered) == 0 && m.reason != "" {
		reason = m.reason
	}
	if m.stale {
		reason = wire.ReasonVersion
	}
	f := wire.Refuse(wire.StepMerge, "", reason, "%d of %d shards answered, at least %.0f%% required%s",
		len(c.Covered), c.Shards, 100*m.plan.Kind.MinCoverage, firstReason(c.Missing))
	f.RequestID = m.answer.RequestID
	f.NotRun = !m.mayHaveRun
	return f
}

// firstReason returns the name and the reason of the first missing shard as a suffix of a message.
func firstReason(missing []wire.MissingShard) string {
	if len(missing) == 0 {
		return ""
	}
	return "; shard " + missing[0].Shard + ": " + string(missing[0].Reason)
}
