package query

import (
	"slices"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Errors of CheckAnswer. An answer with such an error must not be merged.
var (
	ErrRequestMismatch = errors.New("query: answer names another request")
	ErrShardMismatch   = errors.New("query: answer names another shard")
	ErrVersionMismatch = errors.New("query: answer names another index version")
	ErrTruncated       = errors.New("query: answer is truncated")
	ErrTooManyHits     = errors.New("query: answer has more hits than were asked for")
)

// CheckAnswer returns an error if an answer is incomplete, does not match the shard request, or has more hits
// than requested.
func CheckAnswer(q *wire.ShardQuery, a *wire.ShardAnswer) error {
	switch {
	case !a.Complete:
		return ErrTruncated
	case a.RequestID != q.RequestID:
		return ErrRequestMismatch
	case a.Shard != q.Shard:
		return ErrShardMismatch
	case a.IndexVersion != q.IndexVersion:
		return ErrVersionMismatch
	case len(a.Hits) > q.TopK:
		return ErrTooManyHits
	}
	return nil
}

// linearSearchLimit is the number of shards up to which a linear search costs less than a map.
const linearSearchLimit = 16

// Gather merges the shard answers of one slice. Each shard counts at most once. Answers after Partial are
// dropped.
type Gather struct {
	query     *wire.SliceQuery
	positions map[string]int
	settled   []bool
	top       *Top
	partial   wire.SliceResult
	closed    bool
}

// NewGather returns a Gather for the shards listed in the query.
func NewGather(q *wire.SliceQuery) *Gather {
	g := &Gather{query: q, settled: make([]bool, len(q.Shards)), top: NewTop(q.TopK)}
	if len(q.Shards) > linearSearchLimit {
		g.positions = make(map[string]int, len(q.Shards))
		for i, s := range q.Shards {
			g.positions[s] = i
		}
	}
	g.partial = wire.SliceResult{
		RequestID: q.RequestID, Slice: q.Slice, IndexVersion: q.IndexVersion,
		Covered: make([]string, 0, len(q.Shards)),
	}
	return g
}

// Accept merges an answer that has passed CheckAnswer. It returns false, and merges nothing, if the shard is not
// in the query or already has a result, or after Partial.
func (g *Gather) Accept(a *wire.ShardAnswer) bool {
	if !g.settle(a.Shard) {
		return false
	}
	g.top.Add(a.Hits)
	g.partial.Total += a.Total
	g.partial.Covered = append(g.partial.Covered, a.Shard)
	return true
}

// Fail records that a shard has no answer, and the reason. It has no effect if the shard is not in the
// query or already has a result, or after Partial.
func (g *Gather) Fail(shard string, reason wire.Reason) {
	if g.settle(shard) {
		g.partial.Missing = append(g.partial.Missing, wire.MissingShard{Shard: shard, Reason: reason})
	}
}

// settle marks the shard as settled. It returns false if the shard is not in the query or already settled, or
// after Partial.
func (g *Gather) settle(shard string) bool {
	i := g.position(shard)
	if i < 0 || g.closed || g.settled[i] {
		return false
	}
	g.settled[i] = true
	return true
}

// position returns the index of the shard in the query, or -1.
func (g *Gather) position(shard string) int {
	if g.positions == nil {
		return slices.Index(g.query.Shards, shard)
	}
	if i, ok := g.positions[shard]; ok {
		return i
	}
	return -1
}

// Partial returns the merged result; later answers are dropped. Shards without a result are listed as missing
// with wire.ReasonDeadline.
func (g *Gather) Partial() wire.SliceResult {
	for i, s := range g.query.Shards {
		if !g.settled[i] {
			g.Fail(s, wire.ReasonDeadline)
		}
	}
	g.closed = true
	g.partial.Hits = g.top.Hits()
	return g.partial
}
