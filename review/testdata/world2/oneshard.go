package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// queueServer serves requests as the servers of the small deployments do: some run at once, some wait, and the others are
// turned away.
type queueServer struct {
	slots   chan struct{}
	waiting chan struct{}
	// work returns the time that a request takes.
	work func() time.Duration
	// body returns the answer to a request.
	body func() []byte
	// note, if set, writes a line for each run to the record.
	note func(format string, args ...any)
}

func newQueueServer(slots, queue int, work func() time.Duration, body func() []byte) *queueServer {
	return &queueServer{slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queue), work: work, body: body}
}

// handle runs a request until its deadline. It turns it away if the queue is full or the deadline passes in the queue.
func (q *queueServer) handle(x *exchange) {
	if !x.readBody() {
		return
	}
	select {
	case q.waiting <- struct{}{}:
	default:
		x.reject(nil)
		return
	}
	defer func() { <-q.waiting }()
	deadline := time.NewTimer(x.left)
	defer deadline.Stop()
	select {
	case q.slots <- struct{}{}:
	case <-deadline.C:
		x.reject(nil)
		return
	}
	defer func() { <-q.slots }()
	x.begin()
	started := time.Now()
	done := time.NewTimer(q.work())
	defer done.Stop()
	select {
	case <-done.C:
		x.answer(http.StatusOK, q.body())
	case <-deadline.C:
		x.answer(http.StatusGatewayTimeout, []byte("deadline exceeded"))
	}
	if q.note != nil {
		q.note("attempt %s ran at %s from %s for %s", x.id, x.server.id, x.server.w.since(started), time.Since(started).Round(100*time.Microsecond))
	}
}

// oneShard plays servers that turn slow, for an index with one shard.
func oneShard(w *world, trouble bool) (string, error) {
	const (
		host    = "pupu76.example"
		slowBy  = 12
		slowFor = 8 * time.Second
		calm    = 4 * time.Second
		windows = 4
		length  = windows*(calm+slowFor) + calm
	)
	set := []string{"desk-00"}
	routes := []routeDoc{
		{Name: "r-find", Host: host, Prefix: "/find/", RouteType: "safe", TimeoutMs: 800, TargetMs: 50, Priority: 2, MaxAttempts: 2, Gather: set, TopK: 5, MinCoverage: 0.75},
		{Name: "r-sweep", Host: host, Prefix: "/sweep/", RouteType: "safe", TimeoutMs: 1500, TargetMs: 100, Priority: 1, MaxAttempts: 2, Gather: set, TopK: 50, MinCoverage: 0.89},
	}
	w.store.put("op/config", newConfig(7, routes, []serviceDoc{{Name: set[0], HealthPath: "/healthz", MaxConns: 26, Protocol: "h1", ColdStartS: 3}}))
	var mu sync.Mutex
	slow := false
	setSlow := func(v bool) {
		mu.Lock()
		defer mu.Unlock()
		slow = v
	}
	work := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		d := time.Duration(float64(11*time.Millisecond) * (0.65 + 0.7*rand.Float64()))
		if slow {
			d *= slowBy
		}
		return d
	}
	body := func() []byte { return records(60) }
	for k, z := range zones[:2] {
		q := newQueueServer(2, 12, work, body)
		q.note = w.note
		s, err := newServer(w, set[0], z, fmt.Sprintf("i-%08x", 0x7f3a0000+k), "", q.handle)
		if err != nil {
			return "", err
		}
		s.register()
	}
	f, err := newFleet(w, w.store.address, zones)
	if err != nil {
		return "", err
	}
	w.fleet = f
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(length)
	statuses := make(map[int]int)
	broken := make(map[string]int)
	var group sync.WaitGroup
	// About 90 requests a second, as to a shard of the small deployments.
	for c := range 90 {
		r := &routes[1]
		if c%4 == 0 {
			r = &routes[0]
		}
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(2 * rand.Float64() * float64(time.Second)))
				a := &attempt{
					id: newID(), host: host, method: http.MethodGet, uri: r.Prefix + newID(),
					deadline: time.Duration(r.TimeoutMs) * time.Millisecond,
				}
				o := once(f.nodes[c%len(f.nodes)].front, a)
				bad := ""
				if o.err == nil && o.status == http.StatusOK {
					bad = w.checkMerged(a, o, set, r.TopK, r.MinCoverage)
				}
				mu.Lock()
				statuses[o.status]++
				if bad != "" {
					broken[bad]++
					bad = ", WRONG: " + bad
				}
				w.note("attempt %s of %s, sent at %s: %s; X-Part-Seals %q, X-Missing-Parts %q, body of %d bytes%s", a.id, r.Name,
					w.since(a.sentAt), o, o.header.Values("X-Part-Seals"), o.header.Get("X-Missing-Parts"), len(o.body), bad)
				mu.Unlock()
			}
		})
	}
	for range windows {
		if !trouble {
			break
		}
		time.Sleep(calm)
		w.note("the servers turn slow")
		setSlow(true)
		time.Sleep(slowFor)
		setSlow(false)
		w.note("the servers are as fast as before")
	}
	group.Wait()
	w.note("answers by status: %v", statuses)
	total := 0
	for _, n := range broken {
		total += n
	}
	if total > 0 {
		return fmt.Sprintf("MIXED: %d successes are wrong: %v", total, broken), nil
	}
	return "", nil
}
