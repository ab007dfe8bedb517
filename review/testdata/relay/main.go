// Command relay is the script of a case of the review: a node stands still for some seconds while the operator takes a
// shard out of a gathered route and its servers leave. When it wakes, it delegates the old list of shards to another node.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/arbutusthread/arbutusthread/review/testdata/stand"
)

const (
	host   = "desk.example"
	shards = 20
	// freezeTime is how long the node stands still.
	freezeTime = 3500 * time.Millisecond
	// changeDelay is the time from the start of the freeze to the change of the configuration, and leaveDelay the time
	// from its acknowledgement until the servers of the dropped shard leave. The change is due everywhere after 3 s.
	changeDelay = 50 * time.Millisecond
	leaveDelay  = 3050 * time.Millisecond
	// drainTime is how long servers serve on after they have left the list.
	drainTime = 3500 * time.Millisecond
	// seldomCallers send one request on a kept connection shortly before the node wakes.
	seldomCallers = 12
	seldomLead    = 250 * time.Millisecond
	callersByNode = 6
)

func main() { stand.Main(run) }

func configuration(version, shards int) map[string]any {
	var names []string
	services := []map[string]any{stand.Service("billing-office", 200)}
	for i := range shards {
		names = append(names, shardName(i))
		services = append(services, stand.Service(shardName(i), 200))
	}
	return stand.Configuration(version, []stand.Route{
		{
			"name": "r-find", "host": host, "prefix": "/find/", "route-type": "safe", "timeout-ms": 1500,
			"target-latency-ms": 100, "priority": 1, "gather": names, "max-attempts": 2, "top-k": 50, "min-coverage": 0.75,
		},
		{
			"name": "r-invoice", "host": host, "prefix": "/invoice/", "route-type": "safe", "timeout-ms": 6000,
			"target-latency-ms": 400, "priority": 2, "service": "billing-office", "max-attempts": 2,
		},
	}, services)
}

func shardName(i int) string { return fmt.Sprintf("dispatch-%02d", i) }

type lost struct {
	mu sync.Mutex
	// byNode counts the requests from kept connections that a server ran and whose connection ended without an answer.
	byNode map[string]int
	count  map[int]int
}

func run(record *stand.Record, trouble bool) (int, error) {
	f, err := stand.NewFleet(record)
	if err != nil {
		return 2, err
	}
	defer f.Close()
	ledger := stand.NewLedger()
	var leaving []*stand.Server
	for i := range shards {
		for k, zone := range []string{"port-louis", "curepipe"} {
			s, err := f.AddServer(stand.ServerConfig{
				ID: fmt.Sprintf("i-%02d-%d", i, k), Service: shardName(i), Zone: zone, Slots: 4, Queue: 40, Records: 60, Ledger: ledger,
				Work: func() time.Duration { return time.Duration(5+rand.IntN(12)) * time.Millisecond },
			})
			if err != nil {
				return 2, err
			}
			if i == shards-1 {
				leaving = append(leaving, s)
			}
		}
	}
	for i := range 6 {
		if _, err := f.AddServer(stand.ServerConfig{
			ID: fmt.Sprintf("i-b-%d", i), Service: "billing-office", Zone: []string{"port-louis", "curepipe", "mahebourg"}[i%3], Slots: 16, Queue: 40,
			Ledger: ledger, Work: func() time.Duration { return time.Duration(60+rand.IntN(120)) * time.Millisecond },
		}); err != nil {
			return 2, err
		}
	}
	f.Store.Put("op/config", configuration(2, shards))
	places := stand.Places([]string{"port-louis", "curepipe", "mahebourg"}, []int{4, 3, 2})
	if err := f.StartNodes("target/arbutusthread", places); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	addresses, err := stand.Resolve(f.Nodes[8].Directory(), host, "mahebourg")
	record.Sayf("the directory names %v for callers in mahebourg (error %v)", addresses, err)
	var frozen *stand.Node
	for _, n := range f.Nodes {
		if len(addresses) > 0 && n.Front() == addresses[0] {
			frozen = n
		}
	}
	if frozen == nil {
		return 2, fmt.Errorf("no node to freeze")
	}
	record.Sayf("the node that stands still is %s", frozen.Name)

	l := &lost{byNode: make(map[string]int), count: make(map[int]int)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent atomic.Int64
	do := func(n *stand.Node, c *stand.Caller, path string, wait time.Duration) stand.Answer {
		id := stand.NewID()
		sent.Add(1)
		a := c.Do("GET", path, id, nil, wait)
		record.Logf("sent %s %s to %s answered %d kept %v ran %d error %v", id, path, n.Name, a.Status, a.Kept, len(ledger.Runs(id)), a.Err)
		if !a.Sent() {
			time.Sleep(200 * time.Millisecond)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.count[a.Status]++
		if a.Err != nil && a.Sent() && a.Kept && len(ledger.Runs(id)) > 0 {
			l.byNode[n.Name]++
		}
		return a
	}
	for _, n := range f.Nodes {
		for i := range callersByNode {
			if n == frozen {
				continue
			}
			group.Go(func() {
				c := &stand.Caller{Address: n.Front(), Host: host}
				defer c.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(20+rand.IntN(40)) * time.Millisecond):
					}
					if i%6 == 0 {
						do(n, c, "/find/2f", 1500*time.Millisecond)
					} else {
						do(n, c, "/invoice/7", 6*time.Second)
					}
				}
			})
		}
	}
	// The seldom callers open their connections and use them, as requesters that keep the directory's answer.
	var seldom []*stand.Caller
	for range seldomCallers {
		c := &stand.Caller{Address: frozen.Front(), Host: host}
		defer c.Close()
		seldom = append(seldom, c)
	}
	for range 20 {
		for _, c := range seldom {
			do(frozen, c, "/find/2f", 1500*time.Millisecond)
		}
	}
	wake := time.Now().Add(freezeTime)
	if trouble {
		record.Logf("%s stands still", frozen.Name)
		frozen.Signal(syscall.SIGSTOP)
	}
	time.Sleep(changeDelay)
	f.Store.Put("op/config", configuration(5, shards-1))
	record.Logf("configuration 5 without %s acknowledged", shardName(shards-1))
	time.Sleep(leaveDelay)
	for _, s := range leaving {
		f.Store.Delete("servers/" + s.ID)
		time.AfterFunc(drainTime, s.Close)
	}
	record.Logf("the servers of %s have left the list", shardName(shards-1))
	time.Sleep(time.Until(wake.Add(-seldomLead)))
	for _, c := range seldom {
		group.Go(func() { do(frozen, c, "/find/2f", 1500*time.Millisecond) })
	}
	time.Sleep(time.Until(wake))
	if trouble {
		frozen.Signal(syscall.SIGCONT)
		record.Logf("%s goes on", frozen.Name)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	return judge(record, f, frozen, l, sent.Load()), nil
}

func judge(record *stand.Record, f *stand.Fleet, frozen *stand.Node, l *lost, sent int64) int {
	ends, total := 0, 0
	for _, n := range f.Nodes {
		if at, status, ended := n.Ended(); ended {
			ends++
			record.Sayf("%s ended by itself at %s: %s", n.Name, at.Format("15:04:05.000"), status)
			for _, line := range n.LogTail(6, "panic", "goroutine", "gather.(*task)", "nil pointer") {
				record.Sayf("  %s", line)
			}
		}
		if n != frozen {
			total += l.byNode[n.Name]
		}
	}
	record.Sayf("requests %d, statuses %v", sent, l.count)
	record.Sayf("processes that ended by themselves %d; requests from kept connections that were passed on and lost %v", ends, l.byNode)
	if l.count[200] == 0 {
		return 2
	}
	if total > 3 {
		record.Sayf("LOST: %d requests from kept connections, which servers ran, got no answer from machines in touch", total)
		return 1
	}
	return 0
}
