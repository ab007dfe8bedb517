package main

import (
	"sync"
	"time"
)

func init() { cases["dark"] = (*caseRun).playDark }

const (
	coldPerSecond = 10
	// coldBound is cold-per-s x cold-overshoot + cold-slack.
	coldBound = coldPerSecond*1.5 + 5
)

// playDark lets all servers of three shards go dark at the same moment, again and again. They come back cold, under their IDs
// and at their addresses.
func (c *caseRun) playDark() {
	const (
		darkTime = 3 * time.Second
		rounds   = 5
	)
	c.coldPerSecond = coldPerSecond
	c.startDeployment()
	dark := c.servers[:6]
	others := c.startTraffic(func(id string) string { return sweepPath + id })
	time.Sleep(3 * time.Second)
	over, most := 0, 0
	for round := range rounds {
		if c.trouble {
			c.log("round %d: the %d servers of three shards go dark", round, len(dark))
			forAll(dark, (*server).goDark)
			time.Sleep(darkTime)
			forAll(dark, func(s *server) {
				s.returnCold()
				c.store.putJSON("servers/"+s.id, s.entry("ready"))
			})
			c.log("round %d: they are back, and their entries are written", round)
		}
		time.Sleep(coldTime + 2*time.Second)
		for _, s := range dark {
			n, begin := s.mostArrivals()
			if n == 0 {
				continue
			}
			c.log("run: in round %d, %s got %d requests in the second from %v after its start", round, s.id, n, begin.Round(time.Millisecond))
			most = max(most, n)
			if n > coldBound {
				over++
			}
		}
	}
	others.stop()
	c.log("%d cold servers got more than %.0f requests in a second; the most was %d", over, coldBound, most)
	if over > 0 {
		c.fail("FAILBACK: %d cold servers got more than %.0f requests in one second, at most %d", over, coldBound, most)
	}
}

// forAll calls a function for all servers at the same time.
func forAll(servers []*server, f func(*server)) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { f(s) })
	}
	wg.Wait()
}
