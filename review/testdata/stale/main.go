// Command stale is the script of a case of the review: configurations come in quick succession while the store turns
// some machines away. The changes that the other nodes have missed by the time they take over do not fit into one
// answer as the nodes read it, and no node learns of any change until the store has dropped its history.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/review/testdata/stand"
)

const (
	host = "desk.example"
	// growths is the number of times that the configuration has grown by growthRoutes before the storm.
	growths      = 8
	growthRoutes = 350
	// stormChanges changes come at stormGap. The last one moves the route to another service.
	stormChanges = 25
	stormGap     = 80 * time.Millisecond
	// awayTime is how long the store turns awayMachines machines away.
	awayTime     = 9 * time.Second
	awayMachines = 3
	// applyTime, contactTime and outerTime are config-apply-ms, contact-ms and outer-ms.
	applyTime   = 3 * time.Second
	contactTime = 4 * time.Second
	outerTime   = 12 * time.Second
	callers     = 2
	watchTime   = 32 * time.Second
	// oddEntries entries of oddBytes each come from another writer, in the variant "entries". A value may have
	// value-bytes, 1,048,576.
	oddEntries = 10
	oddBytes   = 1_000_000
)

func main() { stand.Main(run) }

func configuration(version, idle int, service string) map[string]any {
	routes := []stand.Route{{
		"name": "r-invoice", "host": host, "prefix": "/invoice/", "route-type": "safe", "timeout-ms": 6000,
		"target-latency-ms": 400, "priority": 2, "service": service, "max-attempts": 2,
	}}
	for i := range idle {
		timeout := 6000
		if i == version%max(1, idle) {
			timeout = 5000
		}
		routes = append(routes, stand.Route{
			"name": fmt.Sprintf("r-idle-%04d", i), "host": fmt.Sprintf("h%04d.example", i), "prefix": fmt.Sprintf("/idle%04d/", i),
			"route-type": "safe", "timeout-ms": timeout, "target-latency-ms": 400, "priority": 2, "service": "billing-office", "max-attempts": 2,
		})
	}
	return stand.Configuration(version, routes, []map[string]any{stand.Service("billing-office", 200), stand.Service("grinder-yard", 200)})
}

// turnAway lets the configuration grow, turns machines away and plays a storm of changes. It returns the machines, the
// time of the acknowledgement of the last change and the time from which requests are judged.
func turnAway(f *stand.Fleet, trouble bool) (away []*stand.Node, moved, judged time.Time) {
	record, version := f.Record, 2
	for i := 1; i <= growths; i++ {
		version++
		f.Store.Put("op/config", configuration(version, 17+i*growthRoutes, "billing-office"))
		record.Logf("configuration %d acknowledged, with %d routes more", version, growthRoutes)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)

	// The store turns the machines away that read it most, and further ones up to the number.
	before := make(map[*stand.Node]int64)
	for _, n := range f.Nodes {
		before[n] = n.Store.Watches()
	}
	time.Sleep(3 * time.Second)
	nodes := slices.Clone(f.Nodes)
	slices.SortStableFunc(nodes, func(a, b *stand.Node) int {
		return int((b.Store.Watches() - before[b]) - (a.Store.Watches() - before[a]))
	})
	away = nodes[:awayMachines]
	for _, n := range away {
		record.Sayf("turned away: %s, with %d watches in 3 s", n.Name, n.Store.Watches()-before[n])
		n.Store.Silent.Store(trouble)
	}
	turnedAway := time.Now()
	time.AfterFunc(awayTime, func() {
		for _, n := range away {
			n.Store.Silent.Store(false)
		}
		record.Logf("no machine is turned away any more")
	})
	for i := 1; i <= stormChanges; i++ {
		version++
		service := "billing-office"
		if i == stormChanges {
			service = "grinder-yard"
		}
		moved = f.Store.Put("op/config", configuration(version, 17+growths*growthRoutes, service))
		record.Logf("configuration %d acknowledged", version)
		time.Sleep(stormGap)
	}
	record.Sayf("configuration %d, which moves the route, was acknowledged %.1f s after the machines were turned away", version, moved.Sub(turnedAway).Seconds())

	// From judged on, the time for the change has passed with all that an unstable core adds, and the store has been
	// without trouble for contact-ms.
	judged = moved.Add(applyTime + outerTime)
	if t := turnedAway.Add(awayTime + contactTime); t.After(judged) {
		judged = t
	}
	return away, moved, judged
}

// writeOdd writes entries that name no server, as another writer may leave them, and then a change of the
// configuration. It returns the time of the acknowledgement of the change.
func writeOdd(f *stand.Fleet, trouble bool) time.Time {
	for i := range oddEntries {
		if trouble {
			f.Store.Put(fmt.Sprintf("servers/odd-%d", i), strings.Repeat("x", oddBytes))
			f.Record.Logf("entry odd-%d of another writer with %d bytes", i, oddBytes)
		}
		time.Sleep(20 * time.Millisecond)
	}
	moved := f.Store.Put("op/config", configuration(3, 17, "grinder-yard"))
	f.Record.Sayf("configuration 3, which moves the route, was acknowledged")
	return moved
}

func run(record *stand.Record, trouble bool) (int, error) {
	f, err := stand.NewFleet(record)
	if err != nil {
		return 2, err
	}
	defer f.Close()
	ledger := stand.NewLedger()
	for _, service := range []string{"billing-office", "grinder-yard"} {
		for i := range 4 {
			if _, err := f.AddServer(stand.ServerConfig{
				ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Zone: []string{"port-louis", "curepipe", "mahebourg"}[i%3], Slots: 24, Queue: 40,
				Ledger: ledger, Work: func() time.Duration { return time.Duration(20+rand.IntN(20)) * time.Millisecond },
			}); err != nil {
				return 2, err
			}
		}
	}
	f.Store.Put("op/config", configuration(2, 17, "billing-office"))
	if err := f.StartNodes("target/arbutusthread", stand.Places([]string{"port-louis", "curepipe", "mahebourg"}, []int{4, 3, 2})); err != nil {
		return 2, err
	}
	time.Sleep(4 * time.Second)
	var moved, judged time.Time
	var away []*stand.Node
	if os.Getenv("VARIANT") == "entries" {
		moved = writeOdd(f, trouble)
		judged = moved.Add(applyTime)
	} else {
		away, moved, judged = turnAway(f, trouble)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	counts, wrong, right := make(map[int]int), make(map[string]int), make(map[string]int)
	last := make(map[string]time.Duration)
	for _, n := range f.Nodes {
		for range callers {
			group.Go(func() {
				c := &stand.Caller{Address: n.Front(), Host: host}
				defer c.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
					}
					id, sent := stand.NewID(), time.Now()
					a := c.Do("GET", "/invoice/7", id, nil, 6*time.Second)
					runs := ledger.Runs(id)
					record.Logf("sent %s to %s answered %d, run by %v, error %v", id, n.Name, a.Status, runs, a.Err)
					old := slices.ContainsFunc(runs, func(r stand.Run) bool { return strings.HasPrefix(r.Server, "i-billing") })
					mu.Lock()
					counts[a.Status]++
					if old {
						last[n.Name] = max(last[n.Name], sent.Sub(moved))
					}
					switch {
					case sent.Before(judged):
					case old:
						wrong[n.Name]++
					default:
						right[n.Name]++
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Until(moved.Add(watchTime)))
	close(stop)
	group.Wait()
	total := 0
	for _, n := range f.Nodes {
		record.Sayf("%s: last run by the old service for a request sent %.1f s after the ack; from %.1f s on, %d by the old service and %d others",
			n.Name, last[n.Name].Seconds(), judged.Sub(moved).Seconds(), wrong[n.Name], right[n.Name])
		if !slices.Contains(away, n) {
			total += wrong[n.Name]
		}
		for _, line := range n.LogTail(2, "platform read failed") {
			record.Logf("  %s", line)
		}
	}
	record.Sayf("statuses %v", counts)
	switch {
	case counts[200] == 0:
		return 2, nil
	case total > 0:
		record.Sayf("CONFIG: %d requests were run by the old service at machines that were never turned away", total)
		return 1, nil
	}
	return 0, nil
}
