package query

import (
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// DefaultTopK is the number of hits of an answer when the caller names none.
	DefaultTopK = 10
	// MaxTopK bounds the memory of a merge.
	MaxTopK = 1000
	// MaxQueryBytes bounds the text of a query.
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

// NewPlan pins the newest version other than avoid, which is empty for the first plan. Failures
// say "not run": nothing has been sent.
func NewPlan(c *Catalog, service string, q wire.Query, now time.Time, avoid string) (*Plan, *wire.Failure) {
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
	x := s.Newest(avoid)
	if x == nil {
		return nil, wire.Refuse(wire.StepPlan, "", wire.ReasonVersion, "no other index version is published")
	}
	return &Plan{Service: s, Kind: k, Index: x, Query: q, Deadline: now.Add(Timeout(k, q.Timeout))}, nil
}

// Timeout returns the time that a request of the kind may take: what the caller asks for, but at
// most what the kind allows.
func Timeout(k *conf.Kind, asked wire.Duration) time.Duration {
	longest := k.MaxTimeout.Std()
	if asked <= 0 || asked.Std() > longest {
		return longest
	}
	return asked.Std()
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

// SliceQuery returns the message to the home of a part.
func (p *Plan) SliceQuery(part Part, caller string, proven bool) wire.SliceQuery {
	return wire.SliceQuery{
		RequestID: p.Query.RequestID, Caller: caller, Service: p.Service.Name, Slice: part.Slice,
		IndexVersion: p.Index.Version, Kind: p.Kind.Name, Query: p.Query.Query, TopK: p.Query.TopK,
		Shards: part.Shards, Deadline: p.Deadline, Proven: proven,
	}
}
