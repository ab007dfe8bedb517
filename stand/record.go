package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	defaultRecordLimit = 10_000
	// ordersPerShard is the ratio of kept orders to kept shard requests. Orders are reconciled one
	// by one, so they are left out much later.
	ordersPerShard = 10
)

// ColdCause is why a cold phase began.
type ColdCause string

// Causes of cold phases.
const (
	// ColdStart is the start of an incarnation.
	ColdStart ColdCause = "Start"
	// ColdTurned is a warm server that turned cold without notice.
	ColdTurned ColdCause = "Turned"
)

// Record is what a Server received and ran. Tests reconcile it with what callers were told.
type Record struct {
	Incarnations []string `json:"Incarnations"`
	Crashes      int      `json:"Crashes"`
	// Received counts shard requests and orders that arrived whole.
	Received int `json:"Received"`
	// Ran counts those of them that took a slot; Answered those that ended with an answer.
	Ran      int `json:"Ran"`
	Answered int `json:"Answered"`
	// NotRun counts refusals that said "not run", by reason.
	NotRun map[wire.BackendReason]int `json:"NotRun"`
	// Cancelled counts requests cancelled while they ran or waited, Expired those cut off at their
	// deadline while they ran.
	Cancelled int `json:"Cancelled"`
	Expired   int `json:"Expired"`
	// MostAtOnce is the largest number of requests that ran or waited at once.
	MostAtOnce int `json:"MostAtOnce"`
	// MostConnections is the largest number of open connections; ClosedConnections counts those
	// closed because they were above the cap.
	MostConnections   int `json:"MostConnections"`
	ClosedConnections int `json:"ClosedConnections"`
	// Orders are the orders that began to run, by key.
	Orders map[string]OrderRecord `json:"Orders"`
	// Shards are the shard requests that began to run, oldest first.
	Shards []ShardRecord `json:"Shards"`
	// DroppedShards and DroppedOrders count what was left out above ServerConfig.RecordLimit.
	DroppedShards int          `json:"DroppedShards"`
	DroppedOrders int          `json:"DroppedOrders"`
	Cold          []ColdRecord `json:"Cold"`
	// Drained is the time of the last Drain, zero without one. AfterDrain counts the requests
	// received since, while draining; LastAfterDrain is the time of the last of them.
	Drained        time.Time `json:"Drained"`
	AfterDrain     int       `json:"AfterDrain"`
	LastAfterDrain time.Time `json:"LastAfterDrain"`
	// Marked is the time of the last Mark. AfterMark counts the requests received since.
	Marked        time.Time `json:"Marked"`
	AfterMark     int       `json:"AfterMark"`
	LastAfterMark time.Time `json:"LastAfterMark"`
}

// OrderRecord tells how often an order began to run on this server. A count above 1 is a
// duplicate.
type OrderRecord struct {
	Count int             `json:"Count"`
	First time.Time       `json:"First"`
	Last  time.Time       `json:"Last"`
	Body  json.RawMessage `json:"Body"`
	// Finished counts the runs that ended with an answer.
	Finished int `json:"Finished"`
}

// ShardRecord is a shard request that began to run.
type ShardRecord struct {
	RequestID    string    `json:"RequestId"`
	Service      string    `json:"Service"`
	Shard        string    `json:"Shard"`
	IndexVersion string    `json:"IndexVersion"`
	Kind         string    `json:"Kind"`
	Query        string    `json:"Query"`
	At           time.Time `json:"At"`
}

// ColdRecord is one cold phase. Its requests are those that ran or waited.
type ColdRecord struct {
	Cause ColdCause `json:"Cause"`
	From  time.Time `json:"From"`
	// Until is zero while the phase lasts.
	Until time.Time `json:"Until"`
	// InFlight is the number of requests at the time at which the server turned cold.
	InFlight int `json:"InFlight"`
	// Over counts the requests that arrived above what the server bore, LastOver is the time of
	// the last of them.
	Over     int       `json:"Over"`
	LastOver time.Time `json:"LastOver"`
	// MostAtOnce is the number of requests at once, seen at an arrival, that exceeded Bears the
	// most or came closest to it. Bears is what the server bore at that moment.
	MostAtOnce int `json:"MostAtOnce"`
	Bears      int `json:"Bears"`
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

func (r *recorder) arrive(now time.Time, draining bool) {
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

// admit notes the requests at once after an arrival.
func (r *recorder) admit(now time.Time, l *life) {
	active := l.active()
	r.MostAtOnce = max(r.MostAtOnce, active)
	if l.warm || len(r.Cold) == 0 {
		return
	}
	c := &r.Cold[len(r.Cold)-1]
	bears := l.bears()
	if c.MostAtOnce == 0 || active-bears > c.MostAtOnce-c.Bears {
		c.MostAtOnce, c.Bears = active, bears
	}
	if active > bears {
		c.Over++
		c.LastOver = now
	}
}

func (r *recorder) beginCold(now time.Time, cause ColdCause, bears, inFlight int) {
	r.endCold(now)
	r.Cold = append(r.Cold, ColdRecord{Cause: cause, From: now, Bears: bears, InFlight: inFlight})
}

func (r *recorder) endCold(now time.Time) {
	if n := len(r.Cold); n > 0 && r.Cold[n-1].Until.IsZero() {
		r.Cold[n-1].Until = now
	}
}

func (r *recorder) run(now time.Time, j *job) {
	r.Ran++
	if j.order != nil {
		r.runOrder(now, j)
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

func (r *recorder) runOrder(now time.Time, j *job) {
	o, known := r.Orders[j.key]
	if !known && len(r.Orders) >= ordersPerShard*r.limit {
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

func (r *recorder) answer(j *job) {
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
