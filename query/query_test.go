package query_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPlan(t is.T, slices int) *query.Plan {
	is := is.New(t)
	d := fake.Layout{Shards: 12, Servers: 6, Slices: slices}.Document()
	p, f := query.NewPlan(query.NewCatalog(d), "service-0", wire.Query{RequestID: "r", Kind: "lookup", Query: "q", TopK: 7}, start, "")
	is.True(f == nil)
	return p
}

// answers returns one answer for each shard of the query.
func answers(q *wire.SliceQuery) []wire.ShardAnswer {
	list := make([]wire.ShardAnswer, len(q.Shards))
	for i, s := range q.Shards {
		list[i] = wire.ShardAnswer{
			RequestID: q.RequestID, Shard: s, IndexVersion: q.IndexVersion, Total: 10, Complete: true,
			Hits: fake.Hits(q.Service, s, q.IndexVersion, q.Query, 10, q.TopK),
		}
	}
	return list
}

// Guards against an answer that depends on the order in which shard answers arrive, on duplicates, or on the
// number of slices.
func TestMergeIsIndependentOfArrival(t *testing.T) {
	whole := newPlan(t, 1)
	q := whole.SliceQuery(whole.Index.Parts[0], "caller", false)
	expected := merge(t, whole, func(*wire.SliceQuery, []wire.ShardAnswer) {})
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(r)
		slices := rapid.SampledFrom([]int{1, 2, 3}).Draw(r, "slices")
		got := merge(r, newPlan(r, slices), func(_ *wire.SliceQuery, list []wire.ShardAnswer) {
			copy(list, rapid.Permutation(list).Draw(r, "order"))
		})
		is.Equal(got.Hits, expected.Hits)
		is.Equal(got.Total, int64(10*len(q.Shards)))
		is.Equal(len(got.Coverage.Covered), len(q.Shards))
	})
}

// merge returns the answer to the plan from shard answers that arrange may reorder.
func merge(t is.T, p *query.Plan, arrange func(*wire.SliceQuery, []wire.ShardAnswer)) *wire.Answer {
	is := is.New(t)
	m := query.NewMerge(p)
	for _, part := range p.Index.Parts {
		q := p.SliceQuery(part, "caller", false)
		g := query.NewGather(&q)
		list := answers(&q)
		arrange(&q, list)
		for i := range list {
			is.True(g.Accept(&list[i]))
			is.True(!g.Accept(&list[i])) // a duplicate
		}
		partial := g.Partial()
		is.NoErr(m.Add(part, &partial))
		is.True(!g.Accept(&list[0])) // late
	}
	a, f := m.Answer()
	is.True(f == nil)
	return a
}

// Guards against merging an answer to another request, shard or version, or an incomplete answer.
func TestMismatchedAnswersAreRejected(t *testing.T) {
	is := is.New(t)
	q := wire.ShardQuery{RequestID: "r", Shard: "s", IndexVersion: "v", TopK: 1}
	good := wire.ShardAnswer{RequestID: "r", Shard: "s", IndexVersion: "v", Complete: true}
	is.NoErr(query.CheckAnswer(&q, &good))
	for _, c := range []struct {
		expected error
		change   func(*wire.ShardAnswer)
	}{
		{query.ErrRequestMismatch, func(a *wire.ShardAnswer) { a.RequestID = "x" }},
		{query.ErrShardMismatch, func(a *wire.ShardAnswer) { a.Shard = "x" }},
		{query.ErrVersionMismatch, func(a *wire.ShardAnswer) { a.IndexVersion = "x" }},
		{query.ErrTruncated, func(a *wire.ShardAnswer) { a.Complete = false }},
		{query.ErrTooManyHits, func(a *wire.ShardAnswer) { a.Hits = make([]wire.Hit, 2) }},
	} {
		a := good
		c.change(&a)
		is.Equal(query.CheckAnswer(&q, &a), c.expected)
	}
}

// Guards against merging a partial result of another version, slice or request, or one that lists a shard twice
// or not at all.
func TestMismatchedPartialsAreRejected(t *testing.T) {
	is := is.New(t)
	p := newPlan(t, 2)
	part := p.Index.Parts[0]
	q := p.SliceQuery(part, "caller", false)
	for i, change := range []func(*wire.SliceResult){
		func(v *wire.SliceResult) { v.RequestID = "x" },
		func(v *wire.SliceResult) { v.IndexVersion = "x" },
		func(v *wire.SliceResult) { v.Slice = 1 },
		func(v *wire.SliceResult) { v.Covered[0] = v.Covered[1] },
		func(v *wire.SliceResult) { v.Covered = v.Covered[1:] },
		func(v *wire.SliceResult) { v.Hits = make([]wire.Hit, 8) },
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			g := query.NewGather(&q)
			for _, a := range answers(&q) {
				g.Accept(&a)
			}
			v := g.Partial()
			change(&v)
			m := query.NewMerge(p)
			is.Equal(m.Add(part, &v), query.ErrPartialMismatch)
			_, f := m.Answer()
			is.True(f != nil)
		})
	}
	is.True(part.Slice == 0)
}

// Guards against an answer that claims more coverage than it has, and against a refusal that says "not run"
// although a shard request was sent.
func TestRefusalBelowCoverage(t *testing.T) {
	is := is.New(t)
	p := newPlan(t, 2)
	m := query.NewMerge(p)
	first, second := p.Index.Parts[0], p.Index.Parts[1]
	m.Fail(first, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no lease holder"))
	q := p.SliceQuery(second, "caller", false)
	g := query.NewGather(&q)
	list := answers(&q)
	g.Accept(&list[0])
	g.Fail(list[1].Shard, wire.ReasonBackend)
	partial := g.Partial()
	is.Equal(len(partial.Covered), 1)
	is.Equal(len(partial.Missing), len(second.Shards)-1)
	partial.Sent = true
	is.NoErr(m.Add(second, &partial))
	_, f := m.Answer()
	is.Equal(f.Reason, wire.ReasonCoverage)
	is.True(!f.NotRun)

	unsent := query.NewMerge(p)
	unsent.Fail(first, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no lease holder"))
	unsent.Fail(second, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no lease holder"))
	_, f = unsent.Answer()
	is.Equal(f.Reason, wire.ReasonNoHome)
	is.True(f.NotRun)
}
