package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// coldRestart plays servers of a zone that are down and come back together, cold, under the IDs that they had, while the
// operator has evacuated the other zone with servers.
func coldRestart(w *world, trouble bool) (string, error) {
	const (
		host     = "pupu76.example"
		shards   = 20
		coldTime = 3 * time.Second
		coldPerS = 10.0
		downFor  = 2 * time.Second
		apart    = 500 * time.Millisecond
		cycles   = 5
		cycle    = 12 * time.Second
		// crashAfter and evacuatedFor are counted from the evacuation.
		crashAfter   = 500 * time.Millisecond
		evacuatedFor = 5 * time.Second
		bound        = coldPerS*1.5 + 5
	)
	var set []string
	var services []serviceDoc
	for i := range shards {
		set = append(set, fmt.Sprintf("desk-%02d", i))
		services = append(services, serviceDoc{
			Name: set[i], HealthPath: "/healthz", MaxConns: 26, Protocol: "h1", ColdStartS: coldTime.Seconds(), ColdPerS: coldPerS,
		})
	}
	routes := []routeDoc{{
		Name: "r-sweep", Host: host, Prefix: "/sweep/", RouteType: "safe", TimeoutMs: 1500, TargetMs: 100, Priority: 1,
		MaxAttempts: 2, Gather: set, TopK: 50, MinCoverage: 0.89,
	}}
	w.store.put("op/config", newConfig(7, routes, services))

	type boot struct {
		server  *server
		from    time.Time
		arrived []time.Time
	}
	var mu sync.Mutex
	var boots []*boot
	handle := func(b *boot) func(*exchange) {
		q := newQueueServer(2, 12, func() time.Duration {
			d := time.Duration(float64(11*time.Millisecond) * (0.65 + 0.7*rand.Float64()))
			if !b.from.IsZero() && time.Since(b.from) < coldTime {
				d = d * 16 / 10
			}
			return d
		}, func() []byte { return records(60) })
		return func(x *exchange) {
			mu.Lock()
			b.arrived = append(b.arrived, x.at)
			mu.Unlock()
			if !b.from.IsZero() && time.Since(b.from) < coldTime {
				w.note("attempt %s arrives at %s, %s after its cold start", x.id, x.server.id, x.at.Sub(b.from).Round(100*time.Microsecond))
			}
			q.handle(x)
		}
	}
	start := func(service, zone, id, address string, isCold bool) (*server, error) {
		b := &boot{}
		if isCold {
			b.from = time.Now()
		}
		s, err := newServer(w, service, zone, id, address, handle(b))
		if err != nil {
			return nil, err
		}
		if isCold {
			s.cold = coldTime
		}
		s.register()
		b.server = s
		mu.Lock()
		boots = append(boots, b)
		mu.Unlock()
		return s, nil
	}
	var servers []*server
	for i, name := range set {
		for k, z := range zones[:2] {
			s, err := start(name, z, fmt.Sprintf("i-%08x", 0x7f3a0000+16*i+k), "", false)
			if err != nil {
				return "", err
			}
			servers = append(servers, s)
		}
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
	end := time.Now().Add(cycles * cycle)
	var clients sync.WaitGroup
	statuses := make(map[int]int)
	for c := range 45 {
		clients.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(float64(500*time.Millisecond) * rand.Float64() * 2))
				a := &attempt{id: newID(), host: host, method: http.MethodGet, uri: "/sweep/" + newID(), deadline: 1500 * time.Millisecond}
				o := once(f.nodes[c%len(f.nodes)].front, a)
				mu.Lock()
				statuses[o.status]++
				mu.Unlock()
				w.note("attempt %s, sent at %s: %s", a.id, w.since(a.sentAt), o)
			}
		})
	}
	for range cycles {
		if !trouble {
			break
		}
		time.Sleep(cycle - evacuatedFor)
		w.note("zone %s is evacuated", zones[1])
		w.store.put("op/evacuate/"+zones[1], struct{}{})
		time.Sleep(crashAfter)
		w.note("the servers of zone %s crash", zones[0])
		// The servers of the other zone are down, and come back together.
		for k, s := range servers {
			if s.zone != zones[0] {
				continue
			}
			s.crash()
			time.AfterFunc(downFor+time.Duration(rand.Int64N(int64(apart))), func() {
				again, err := start(s.service, s.zone, s.id, s.address, true)
				if err != nil {
					w.note("server %s cannot start again: %v", s.id, err)
					return
				}
				servers[k] = again
			})
		}
		time.Sleep(evacuatedFor - crashAfter)
		w.store.remove("op/evacuate/" + zones[1])
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	worst, over, restarts := 0, 0, 0
	for _, b := range boots {
		if b.from.IsZero() {
			continue
		}
		restarts++
		most := 0
		for i := range b.arrived {
			n := 0
			for k := i; k < len(b.arrived) && b.arrived[k].Sub(b.arrived[i]) < time.Second && b.arrived[k].Sub(b.from) < coldTime; k++ {
				n++
			}
			most = max(most, n)
		}
		w.note("server %s of %s, cold from %.3f: at most %d requests in one second", b.server.id, b.server.service, b.from.Sub(w.started).Seconds(), most)
		if float64(most) > bound {
			over++
		}
		worst = max(worst, most)
	}
	for _, b := range boots {
		if b.from.IsZero() {
			w.note("server %s of %s, not cold, got %d requests", b.server.id, b.server.service, len(b.arrived))
		}
	}
	w.note("answers by status (0: none): %v", statuses)
	w.note("%d of %d cold servers got more than %.0f requests in one second, at most %d", over, restarts, bound, worst)
	if over > 0 {
		return fmt.Sprintf("FAILBACK: %d of %d cold servers got more than %.0f requests in one second, at most %d", over, restarts, bound, worst), nil
	}
	return "", nil
}
