package query

import (
	"slices"
	"strings"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// ErrForeignPartial marks a partial result that does not belong to the plan.
var ErrForeignPartial = errors.New("query: partial result does not belong to the plan")

// Merge combines the partial results of the slices of a plan. Each slice counts at most once.
type Merge struct {
	plan    *Plan
	settled map[int]bool
	// seen is used by check only; one list for all parts saves an allocation for each.
	seen   []bool
	top    *Top
	answer wire.Answer
	sent   bool
	sends  int
	stale  bool
	reason wire.Reason
}

// NewMerge returns an empty merge for the plan.
func NewMerge(p *Plan) *Merge {
	return &Merge{
		plan: p, settled: make(map[int]bool, len(p.Index.Parts)), top: NewTop(p.Query.TopK),
		answer: wire.Answer{
			RequestID: p.Query.RequestID, Outcome: wire.Answered, IndexVersion: p.Index.Version,
			Coverage: wire.Coverage{Shards: p.Index.Len(), Covered: make([]string, 0, p.Index.Len())},
		},
	}
}

// Add merges the partial result of a part. It returns ErrForeignPartial, and merges nothing, when
// the partial names another request, slice or version, or does not list each asked shard once.
func (m *Merge) Add(part Part, p *wire.SlicePartial) error {
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
	m.sent = m.sent || p.Sent
	m.sends += p.Sends
	m.stale = m.stale || p.StaleVersion
	return nil
}

func (m *Merge) check(part Part, p *wire.SlicePartial) error {
	if p.RequestID != m.plan.Query.RequestID || p.Slice != part.Slice || p.IndexVersion != m.plan.Index.Version {
		return ErrForeignPartial
	}
	if len(p.Hits) > m.plan.Query.TopK || len(p.Covered)+len(p.Missing) != len(part.Shards) {
		return ErrForeignPartial
	}
	m.seen = append(m.seen[:0], make([]bool, len(part.Shards))...)
	for _, name := range p.Covered {
		if !m.see(part, name) {
			return ErrForeignPartial
		}
	}
	for i := range p.Missing {
		if !m.see(part, p.Missing[i].Shard) {
			return ErrForeignPartial
		}
	}
	return nil
}

// see reports whether the shard belongs to the part and is listed for the first time.
func (m *Merge) see(part Part, name string) bool {
	h, ok := m.plan.Index.shards[name]
	if !ok || h.Slice != part.Slice || m.seen[h.place] {
		return false
	}
	m.seen[h.place] = true
	return true
}

// Lose records that a part has no result. Sent tells whether its home may have sent shard
// requests.
func (m *Merge) Lose(part Part, f *wire.Failure) {
	if m.settled[part.Slice] {
		return
	}
	m.settled[part.Slice] = true
	m.sent = m.sent || !f.NotRun
	m.reason = f.Reason
	m.stale = m.stale || f.Reason == wire.ReasonVersion
	for _, s := range part.Shards {
		m.answer.Coverage.Missing = append(m.answer.Coverage.Missing, wire.MissingShard{Shard: s, Reason: f.Reason})
	}
}

// Sends returns the number of shard requests that the merged parts have sent.
func (m *Merge) Sends() int {
	return m.sends
}

// Stale reports whether a server no longer has the pinned version.
func (m *Merge) Stale() bool {
	return m.stale
}

// Answer returns the answer, or a refusal when it covers less than the kind demands. The refusal
// says "not run" only if no shard request can have been sent.
func (m *Merge) Answer() (*wire.Answer, *wire.Failure) {
	m.answer.Hits = m.top.Hits()
	slices.Sort(m.answer.Coverage.Covered)
	slices.SortFunc(m.answer.Coverage.Missing, func(a, b wire.MissingShard) int {
		return strings.Compare(a.Shard, b.Shard)
	})
	if len(m.answer.Coverage.Covered) > 0 && m.answer.Coverage.Share() >= m.plan.Kind.MinCoverage {
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
	f := wire.Refuse(wire.StepMerge, "", reason, "%d of %d shards answered, at least %.0f%% needed%s",
		len(c.Covered), c.Shards, 100*m.plan.Kind.MinCoverage, firstReason(c.Missing))
	f.RequestID = m.answer.RequestID
	f.NotRun = !m.sent
	return f
}

func firstReason(missing []wire.MissingShard) string {
	if len(missing) == 0 {
		return ""
	}
	return "; shard " + missing[0].Shard + ": " + string(missing[0].Reason)
}
