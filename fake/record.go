package fake

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	defaultRecordLimit = 10_000
	// orderRecordFactor is the ratio of retained orders to retained shard requests. Tests reconcile
	// orders one by one, so far more of them are retained.
	orderRecordFactor = 10
)

// ColdCause is the cause of a cold phase.
type ColdCause string

// Causes of cold phases.
const (
	// ColdStart means that a new incarnation started.
	ColdStart ColdCause = "Start"
	// ColdUnannounced means that a warm server became cold without a restart or notification.
	ColdUnannounced ColdCause = "Turned"
)

// Record lists the requests that a Server received and ran. Tests reconcile it with the responses that
// callers received.
type Record struct {
	Incarnations []string `json:"Incarnations"`
	Crashes      int      `json:"Crashes"`
	// Received counts the shard requests and orders that were received completely.
	Received int `json:"Received"`
	// Ran counts the received requests that acquired a slot, Answered those that completed with a response.
	Ran      int `json:"Ran"`
	Answered int `json:"Answered"`
	// NotRun counts the requests refused with "not run", by reason.
	NotRun map[wire.BackendReason]int `json:"NotRun"`
	// Cancelled counts the requests cancelled while running or queued, Expired those aborted at their
	// deadline while running.
	Cancelled int `json:"Cancelled"`
	Expired   int `json:"Expired"`
	// MaxConcurrent is the maximum number of requests running or queued at the same time.
	MaxConcurrent int `json:"MostAtOnce"`
	// MaxConnections is the maximum number of open connections; ClosedConnections counts the
	// connections closed because they exceeded the connection limit.
	MaxConnections    int `json:"MostConnections"`
	ClosedConnections int `json:"ClosedConnections"`
	// Orders holds the orders that started to run, by key.
	Orders map[string]OrderRecord `json:"Orders"`
	// Shards holds the shard requests that started to run, oldest first.
	Shards []ShardRecord `json:"Shards"`
	// DroppedShards and DroppedOrders count the requests that were not recorded because of
	// ServerConfig.RecordLimit.
	DroppedShards int          `json:"DroppedShards"`
	DroppedOrders int          `json:"DroppedOrders"`
	Cold          []ColdRecord `json:"Cold"`
	// Drained is the time of the last call of Drain, or zero. AfterDrain counts the requests received
	// while the server was draining; LastAfterDrain is the time of the last of them.
	Drained        time.Time `json:"Drained"`
	AfterDrain     int       `json:"AfterDrain"`
	LastAfterDrain time.Time `json:"LastAfterDrain"`
	// Marked is the time of the last call of Mark. AfterMark counts the requests received since then;
	// LastAfterMark is the time of the last of them.
	Marked        time.Time `json:"Marked"`
	AfterMark     int       `json:"AfterMark"`
	LastAfterMark time.Time `json:"LastAfterMark"`
}

// OrderRecord counts how often an order started to run on this server. A Count above 1 means duplicate
// execution.
type OrderRecord struct {
	Count int             `json:"Count"`
	First time.Time       `json:"First"`
	Last  time.Time       `json:"Last"`
	Body  json.RawMessage `json:"Body"`
	// Finished counts the runs that completed with a response.
	Finished int `json:"Finished"`
}

// ShardRecord is a shard request that started to run.
type ShardRecord struct {
	RequestID    string    `json:"RequestId"`
	Service      string    `json:"Service"`
	Shard        string    `json:"Shard"`
	IndexVersion string    `json:"IndexVersion"`
	Kind         string    `json:"Kind"`
	Query        string    `json:"Query"`
	At           time.Time `json:"At"`
}

// ColdRecord is one cold phase. Its request counts include running and queued requests.
type ColdRecord struct {
	Cause ColdCause `json:"Cause"`
	From  time.Time `json:"From"`
	// Until is zero while the phase lasts.
	Until time.Time `json:"Until"`
	// InFlight is the number of requests in flight when the server became cold.
	InFlight int `json:"InFlight"`
	// OverLimit counts the requests admitted above the concurrency limit of the server; LastOverLimit is the time
	// of the last of them.
	OverLimit     int       `json:"Over"`
	LastOverLimit time.Time `json:"LastOver"`
	// MaxConcurrent and ConcurrencyLimit are the number of concurrent requests and the concurrency limit at the
	// admission at which MaxConcurrent-ConcurrencyLimit was largest. Before the first admission,
	// ConcurrencyLimit is the limit at the start of the phase.
	MaxConcurrent    int `json:"MostAtOnce"`
	ConcurrencyLimit int `json:"Bears"`
}

type recorder struct {
	Record
	limit int
}

func newRecorder(limit int) recorder {
	return recorder{limit: limit, Record: Record{
		NotRun: map[wire.BackendReason]int{}, Orders: map[string]OrderRecord{},
	}}
}

func (r *recorder) addReceived(now time.Time, draining bool) {
	r.Received++
	if draining {
		r.AfterDrain++
		r.LastAfterDrain = now
	}
	if !r.Marked.IsZero() {
		r.AfterMark++
		r.LastAfterMark = now
	}
}

func (r *recorder) mark(now time.Time) {
	r.Marked = now
	r.AfterMark = 0
	r.LastAfterMark = time.Time{}
}

// addAdmitted records the concurrency after a request was admitted.
func (r *recorder) addAdmitted(now time.Time, in *incarnation) {
	active := in.active()
	r.MaxConcurrent = max(r.MaxConcurrent, active)
	if in.warm || len(r.Cold) == 0 {
		return
	}
	c := &r.Cold[len(r.Cold)-1]
	limit := in.concurrencyLimit()
	if c.MaxConcurrent == 0 || active-limit > c.MaxConcurrent-c.ConcurrencyLimit {
		c.MaxConcurrent, c.ConcurrencyLimit = active, limit
	}
	if active > limit {
		c.OverLimit++
		c.LastOverLimit = now
	}
}

func (r *recorder) beginCold(now time.Time, cause ColdCause, limit, inFlight int) {
	r.endCold(now)
	r.Cold = append(r.Cold, ColdRecord{Cause: cause, From: now, ConcurrencyLimit: limit, InFlight: inFlight})
}

func (r *recorder) endCold(now time.Time) {
	if n := len(r.Cold); n > 0 && r.Cold[n-1].Until.IsZero() {
		r.Cold[n-1].Until = now
	}
}

func (r *recorder) addRun(now time.Time, j *job) {
	r.Ran++
	if j.order != nil {
		r.addOrderRun(now, j)
		return
	}
	if len(r.Shards) >= r.limit {
		r.DroppedShards++
		return
	}
	q := j.query
	r.Shards = append(r.Shards, ShardRecord{
		RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, IndexVersion: q.IndexVersion,
		Kind: q.Kind, Query: q.Query, At: now,
	})
}

func (r *recorder) addOrderRun(now time.Time, j *job) {
	o, known := r.Orders[j.key]
	if !known && len(r.Orders) >= orderRecordFactor*r.limit {
		r.DroppedOrders++
		return
	}
	if !known {
		o.First = now
		o.Body = j.order.Body
	}
	o.Count++
	o.Last = now
	r.Orders[j.key] = o
}

func (r *recorder) addAnswer(j *job) {
	r.Answered++
	if o, ok := r.Orders[j.key]; ok && j.order != nil {
		o.Finished++
		r.Orders[j.key] = o
	}
}

func (r *recorder) copy() Record {
	c := r.Record
	c.Incarnations = append([]string{}, r.Incarnations...)
	c.NotRun = maps.Clone(r.NotRun)
	c.Orders = maps.Clone(r.Orders)
	c.Shards = append([]ShardRecord{}, r.Shards...)
	c.Cold = append([]ColdRecord{}, r.Cold...)
	return c
}

func (s *Server) getRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Record())
}
