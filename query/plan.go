package query

import (
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// DefaultTopK is the number of hits of an answer if the query has no TopK.
	DefaultTopK = 10
	// MaxTopK is the largest TopK of a query. It bounds the memory of a merge.
	MaxTopK = 1000
	// MaxQueryBytes bounds the text of a query, in bytes.
	MaxQueryBytes = 16 << 10
)

// Plan is a query pinned to one version of an index.
type Plan struct {
	Service  *Service
	Kind     *conf.Kind
	Index    *Index
	Query    wire.Query
	Deadline time.Time
}

// NewPlan plans a query on the newest index version other than the excluded one, which is empty for the first
// plan. Failures say "not run", because nothing has been sent.
func NewPlan(c *Catalog, service string, q wire.Query, now time.Time, excluded string) (*Plan, *wire.Failure) {
	s := c.Service(service)
	if s == nil {
		return nil, wire.Refuse(wire.StepPlan, "", wire.ReasonNotFound, "unknown service %q", service)
	}
	k := s.Kind(q.Kind)
	if k == nil {
		return nil, wire.Refuse(wire.StepPlan, "", wire.ReasonBadRequest, "Kind: unknown kind %q", q.Kind)
	}
	if !k.Idempotent {
		return nil, wire.Refuse(wire.StepPlan, "", wire.ReasonBadRequest,
			"Kind: %q is not idempotent and must be sent as an order", q.Kind)
	}
	if f := checkLimits(&q); f != nil {
		return nil, f
	}
	x := s.Newest(excluded)
	if x == nil {
		return nil, wire.Refuse(wire.StepPlan, "", wire.ReasonVersion, "no other index version is published")
	}
	return &Plan{Service: s, Kind: k, Index: x, Query: q, Deadline: now.Add(Timeout(k, q.Timeout))}, nil
}

// Timeout returns the timeout of a request of the kind: the requested one, but at most the MaxTimeout of the
// kind, which is also the default.
func Timeout(k *conf.Kind, requested wire.Duration) time.Duration {
	limit := k.MaxTimeout.Std()
	if requested <= 0 || requested.Std() > limit {
		return limit
	}
	return requested.Std()
}

func checkLimits(q *wire.Query) *wire.Failure {
	if q.TopK < 0 || q.TopK > MaxTopK {
		return wire.Refuse(wire.StepPlan, "", wire.ReasonBadRequest, "TopK: must be between 0 and %d", MaxTopK)
	}
	if q.TopK == 0 {
		q.TopK = DefaultTopK
	}
	if len(q.Query) > MaxQueryBytes {
		return wire.Refuse(wire.StepPlan, "", wire.ReasonTooLarge, "Query: longer than %d bytes", MaxQueryBytes)
	}
	return nil
}

// SliceQuery returns the message to the lease holder of the part's slice. SkipCanary means that the
// query has succeeded recently without a crash and needs no canary.
func (p *Plan) SliceQuery(part SlicePart, caller string, skipCanary bool) wire.SliceQuery {
	return wire.SliceQuery{
		RequestID: p.Query.RequestID, Caller: caller, Service: p.Service.Name, Slice: part.Slice,
		IndexVersion: p.Index.Version, Kind: p.Kind.Name, Query: p.Query.Query, TopK: p.Query.TopK,
		Shards: part.Shards, Deadline: p.Deadline, SkipCanary: skipCanary,
	}
}
