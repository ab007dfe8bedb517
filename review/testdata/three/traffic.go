package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// ordinaryRate is the usual number of ordinary requests a second to each node.
const ordinaryRate = 12

// traffic is the ordinary traffic of sound callers to all nodes.
type traffic struct {
	run  *caseRun
	done chan struct{}
	wg   sync.WaitGroup

	served, refused, failed, none atomic.Int64
}

// startTraffic sends ordinary requests to all nodes until stop is called.
func (c *caseRun) startTraffic(uri func(id string) string) *traffic {
	t := &traffic{run: c, done: make(chan struct{})}
	for i, n := range c.nodes {
		t.wg.Go(func() { t.send(n, fmt.Sprintf("caller-%d", 100+i), uri) })
	}
	t.wg.Go(t.report)
	return t
}

func (t *traffic) send(n *node, caller string, uri func(id string) string) {
	ticker := time.NewTicker(time.Second / time.Duration(t.run.rate))
	defer ticker.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-ticker.C:
		}
		t.wg.Go(func() {
			q := &requester{address: n.front}
			defer q.close()
			id := newAttemptID()
			t.count(q.send("GET", headOf("GET", uri(id), id, sweepTimeout, "User-Agent: "+caller+"\r\n")+"\r\n", 2*time.Second))
		})
	}
}

func (t *traffic) count(a answer) {
	switch {
	case a.status == 0 || a.err != nil:
		t.none.Add(1)
	case a.status < 300:
		t.served.Add(1)
	case a.status == 503:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

// report records the answers to ordinary requests each second.
func (t *traffic) report() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-ticker.C:
			t.log()
		}
	}
}

func (t *traffic) log() {
	t.run.log("ordinary requests until now: %d served, %d refused with 503, %d failed, %d without an answer",
		t.served.Load(), t.refused.Load(), t.failed.Load(), t.none.Load())
}

func (t *traffic) stop() {
	close(t.done)
	t.wg.Wait()
	t.log()
}
