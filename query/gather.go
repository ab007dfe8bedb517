package query

import (
	"slices"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Errors of answers that must not be merged.
var (
	ErrOtherRequest = errors.New("query: answer names another request")
	ErrOtherShard   = errors.New("query: answer names another shard")
	ErrOtherVersion = errors.New("query: answer names another index version")
	ErrTruncated    = errors.New("query: answer is truncated")
	ErrTooManyHits  = errors.New("query: answer has more hits than were asked for")
)

// CheckAnswer reports whether an answer belongs to this shard request and is whole.
func CheckAnswer(q *wire.ShardQuery, a *wire.ShardAnswer) error {
	switch {
	case !a.Complete:
		return ErrTruncated
	case a.RequestID != q.RequestID:
		return ErrOtherRequest
	case a.Shard != q.Shard:
		return ErrOtherShard
	case a.IndexVersion != q.IndexVersion:
		return ErrOtherVersion
	case len(a.Hits) > q.TopK:
		return ErrTooManyHits
	}
	return nil
}

// fewShards is the number of shards up to which a search of the list costs less than a map.
const fewShards = 16

// Gather merges the shard answers of one slice. Each shard counts at most once; answers after
// Partial are dropped.
type Gather struct {
	query   *wire.SliceQuery
	places  map[string]int
	settled []bool
	top     *Top
	partial wire.SlicePartial
	ended   bool
}

// NewGather returns a gather for the shards that the query names.
func NewGather(q *wire.SliceQuery) *Gather {
	g := &Gather{query: q, settled: make([]bool, len(q.Shards)), top: NewTop(q.TopK)}
	if len(q.Shards) > fewShards {
		g.places = make(map[string]int, len(q.Shards))
		for i, s := range q.Shards {
			g.places[s] = i
		}
	}
	g.partial = wire.SlicePartial{
		RequestID: q.RequestID, Slice: q.Slice, IndexVersion: q.IndexVersion,
		Covered: make([]string, 0, len(q.Shards)),
	}
	return g
}

// Accept merges a checked answer and reports whether it was the first for its shard.
func (g *Gather) Accept(a *wire.ShardAnswer) bool {
	if !g.settle(a.Shard) {
		return false
	}
	g.top.Add(a.Hits)
	g.partial.Total += a.Total
	g.partial.Covered = append(g.partial.Covered, a.Shard)
	return true
}

// Miss records that a shard has no answer.
func (g *Gather) Miss(shard string, reason wire.Reason) {
	if g.settle(shard) {
		g.partial.Missing = append(g.partial.Missing, wire.MissingShard{Shard: shard, Reason: reason})
	}
}

func (g *Gather) settle(shard string) bool {
	i := g.place(shard)
	if i < 0 || g.ended || g.settled[i] {
		return false
	}
	g.settled[i] = true
	return true
}

// place returns the index of the shard in the query, or -1.
func (g *Gather) place(shard string) int {
	if g.places == nil {
		return slices.Index(g.query.Shards, shard)
	}
	if i, ok := g.places[shard]; ok {
		return i
	}
	return -1
}

// Partial ends the gather and returns the merged result. Shards that are neither accepted nor
// missing count as late.
func (g *Gather) Partial() wire.SlicePartial {
	for i, s := range g.query.Shards {
		if !g.settled[i] {
			g.Miss(s, wire.ReasonDeadline)
		}
	}
	g.ended = true
	g.partial.Hits = g.top.Hits()
	return g.partial
}
