// Command storm is the script of a case of the review: configurations with many routes come in quick succession, and
// the memory of the nodes grows with each of them until the platform kills the processes.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusthread/arbutusthread/review/testdata/stand"
)

const (
	host = "desk.example"
	// memoryMB is the memory limit of a process; the platform kills a process that exceeds it.
	memoryMB = 284
	// growths is the number of times that the configuration grows by growthRoutes.
	growths      = 4
	growthRoutes = 350
	// storms is the number of storms. In each, stormChanges changes come at stormGap.
	storms       = 32
	stormChanges = 25
	stormGap     = 80 * time.Millisecond
	stormPause   = 500 * time.Millisecond
	callers      = 8
	// The script ends early when the platform has killed maxKills processes.
	maxKills = 2
)

func main() { stand.Main(run) }

// configuration returns a version with two used routes and a number of idle ones. The version sets the timeout of one
// idle route, as versions that change time-outs do.
func configuration(version, idle int) map[string]any {
	routes := []stand.Route{{
		"name": "r-invoice", "host": host, "prefix": "/invoice/", "route-type": "safe", "timeout-ms": 6000,
		"target-latency-ms": 400, "priority": 2, "service": "billing-office", "max-attempts": 2,
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
	return stand.Configuration(version, routes, []map[string]any{stand.Service("billing-office", 200)})
}

func run(record *stand.Record, trouble bool) (int, error) {
	f, err := stand.NewFleet(record)
	if err != nil {
		return 2, err
	}
	defer f.Close()
	ledger := stand.NewLedger()
	for i := range 4 {
		if _, err := f.AddServer(stand.ServerConfig{
			ID: fmt.Sprintf("i-b-%d", i), Service: "billing-office", Zone: []string{"port-louis", "curepipe", "mahebourg"}[i%3], Slots: 24, Queue: 40,
			Ledger: ledger, Work: func() time.Duration { return time.Duration(60+rand.IntN(60)) * time.Millisecond },
		}); err != nil {
			return 2, err
		}
	}
	f.Store.Put("op/config", configuration(1, 17))
	if err := f.StartNodes("target/arbutusthread", stand.Places([]string{"port-louis", "curepipe", "mahebourg"}, []int{4, 3, 2})); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	counts, lost := make(map[int]int), make(map[string]int)
	for _, n := range f.Nodes {
		for range callers {
			group.Go(func() {
				c := &stand.Caller{Address: n.Front(), Host: host}
				defer c.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(20+rand.IntN(40)) * time.Millisecond):
					}
					id := stand.NewID()
					a := c.Do("GET", "/invoice/7", id, nil, 6*time.Second)
					if !a.Sent() {
						time.Sleep(200 * time.Millisecond)
					}
					ran := len(ledger.Runs(id)) > 0
					record.Logf("sent %s to %s answered %d kept %v ran %v error %v", id, n.Name, a.Status, a.Kept, ran, a.Err)
					mu.Lock()
					counts[a.Status]++
					if a.Err != nil && a.Sent() && a.Kept && ran {
						lost[n.Name]++
					}
					mu.Unlock()
				}
			})
		}
	}
	killed := make([]bool, len(f.Nodes))
	var kills atomic.Int64
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for i, n := range f.Nodes {
				if m := n.MemoryMB(); m > memoryMB && !killed[i] {
					killed[i] = true
					kills.Add(1)
					record.Sayf("%s has %.0f MB, above its limit of %d MB: the platform kills it", n.Name, m, memoryMB)
					n.Kill()
				}
			}
		}
	})
	version := 1
	if trouble {
		for i := 1; i <= growths; i++ {
			version++
			f.Store.Put("op/config", configuration(version, 17+i*growthRoutes))
			record.Logf("configuration %d acknowledged, with %d routes more", version, growthRoutes)
			time.Sleep(time.Second)
		}
	}
	for storm := 1; storm <= storms && kills.Load() < maxKills; storm++ {
		for range stormChanges {
			if trouble {
				version++
				f.Store.Put("op/config", configuration(version, 17+growths*growthRoutes))
			}
			time.Sleep(stormGap)
		}
		record.Sayf("storm %d has ended with version %d; memory of the nodes in MB: %s", storm, version, describe(f.Nodes))
		time.Sleep(stormPause)
	}
	close(stop)
	group.Wait()
	total := 0
	for _, n := range lost {
		total += n
	}
	record.Sayf("versions %d, statuses %v, processes above the memory limit %d", version, counts, kills.Load())
	record.Sayf("requests from kept connections that were passed on and lost %v", lost)
	switch {
	case counts[200] == 0:
		return 2, nil
	case total > 3:
		record.Sayf("LOST: %d requests from kept connections, which servers ran, got no answer", total)
		return 1, nil
	}
	return 0, nil
}

func describe(nodes []*stand.Node) string {
	text := ""
	for _, n := range nodes {
		text += fmt.Sprintf(" %.0f", n.MemoryMB())
	}
	return text
}
