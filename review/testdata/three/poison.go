package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["shards"] = (*caseRun).playShards
	cases["caller"] = (*caseRun).playCaller
	cases["notes"] = (*caseRun).playNotes
	cases["herd"] = (*caseRun).playHerd
}

const (
	contactTime = 4 * time.Second
	// maxLateRetries is the bound of the rule.
	maxLateRetries = 3
	// serverDownTime is the time for which a crashed server is away.
	serverDownTime = 2 * time.Second
	// attemptPause is the time between two attempts of a request that crashes servers.
	attemptPause = 1200 * time.Millisecond
)

// crasher records the runs of a request that crashes each server that runs it.
type crasher struct {
	mu sync.Mutex
	// crashes holds the times of the crashes, and reached the time at which each attempt first reached a server.
	crashes []time.Time
	reached map[string]time.Time
}

func newCrasher() *crasher { return &crasher{reached: make(map[string]time.Time)} }

// run records that a server begins to run an attempt.
func (k *crasher) run(c *caseRun, id string, s *server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.crashes = append(k.crashes, now)
	c.log("run: attempt %s crashes %s", id, s.id)
	if _, known := k.reached[id]; !known {
		k.reached[id] = now
	}
}

// judge checks the rule BUDGET for a request that crashes the servers that run it.
func (c *caseRun) judge(k *crasher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.crashes) < 3 {
		giveUp("the request has crashed %d servers only", len(k.crashes))
	}
	late := 0
	for _, at := range k.reached {
		if at.After(k.crashes[2].Add(contactTime)) {
			late++
		}
	}
	c.log("%d crashes; %d retries reached servers later than %v after the third crash, %d are allowed",
		len(k.crashes), late, contactTime, maxLateRetries)
	if late > maxLateRetries {
		c.fail("BUDGET: a request that crashes servers reached servers in %d retries later than %v after its third crash",
			late, contactTime)
	}
}

// crashServer ends the process of a server, which is back after serverDownTime.
func (c *caseRun) crashServer(s *server) {
	s.crash()
	time.AfterFunc(serverDownTime, func() {
		s.mu.Lock()
		down := s.down
		s.down = false
		s.mu.Unlock()
		if down {
			s.boot()
			c.store.putJSON("servers/"+s.id, s.entry("ready"))
		}
	})
}

// attempt sends one attempt of a request to a node on a new connection.
func (c *caseRun) attempt(n *node, uri, caller string) {
	q := &requester{address: n.front}
	defer q.close()
	id := newAttemptID()
	c.log("sent: attempt %s of %s by %s to %s", id, uri, caller, n.name)
	a := q.send("GET", headOf("GET", uri, id, sweepTimeout, "User-Agent: "+caller+"\r\n")+"\r\n", 2*time.Second)
	c.log("answered: attempt %s with %d", id, a.status)
}

// playShards sends a request that crashes each server that runs it to one node after the other. Its route has as many shards
// as that of the grown deployment.
func (c *caseRun) playShards() {
	const (
		uri      = sweepPath + "crash-x"
		duration = 60 * time.Second
		rate     = 4
	)
	c.shards, c.rate = grownShardCount, rate
	c.startDeployment()
	k := newCrasher()
	for _, s := range c.servers {
		s.behave = func(r *http.Request) {
			if r.RequestURI == uri {
				k.run(c, r.Header.Get("X-Attempt-Id"), s)
				c.crashServer(s)
				panic(http.ErrAbortHandler)
			}
		}
	}
	others := c.startTraffic(func(id string) string { return sweepPath + id })
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		if c.trouble {
			c.attempt(c.nodes[i%len(c.nodes)], uri, "caller-7")
		}
		time.Sleep(attemptPause)
	}
	others.stop()
	if c.trouble {
		c.judge(k)
	}
}

// playCaller lets one caller send a request that crashes each server that runs it. Other callers send requests with the same
// path and body all the while, which run well.
func (c *caseRun) playCaller() {
	const (
		uri      = sweepPath + "2f"
		caller   = "caller-7"
		duration = 45 * time.Second
	)
	c.startDeployment()
	k := newCrasher()
	for _, s := range c.servers {
		s.behave = func(r *http.Request) {
			if r.UserAgent() == caller {
				k.run(c, r.Header.Get("X-Attempt-Id"), s)
				c.crashServer(s)
				panic(http.ErrAbortHandler)
			}
		}
	}
	others := c.startTraffic(func(string) string { return uri })
	time.Sleep(5 * time.Second)
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		if c.trouble {
			c.attempt(c.nodes[i%len(c.nodes)], uri, caller)
		}
		time.Sleep(attemptPause)
	}
	others.stop()
	if c.trouble {
		c.judge(k)
	}
}

// playNotes sends a request that crashes each server that runs it to one node after the other. With trouble, many other
// requests that do so come before it.
func (c *caseRun) playNotes() {
	const (
		mark         = "crash-"
		uri          = sweepPath + mark + "last"
		rounds       = 20
		roundTime    = 2500 * time.Millisecond
		requests     = 8 // in a round
		lastDuration = 28 * time.Second
		// runTime is the time for which a server runs a request until it crashes. It is that of an ordinary request.
		runTime = 11 * time.Millisecond
	)
	c.startDeployment()
	k := newCrasher()
	for _, s := range c.servers {
		s.behave = func(r *http.Request) {
			if !strings.Contains(r.RequestURI, mark) {
				return
			}
			if r.RequestURI == uri {
				k.run(c, r.Header.Get("X-Attempt-Id"), s)
			}
			time.Sleep(runTime)
			c.crashServer(s)
			panic(http.ErrAbortHandler)
		}
	}
	others := c.startTraffic(func(id string) string { return sweepPath + id })
	for i := range rounds * requests {
		if c.trouble {
			go c.attempt(c.nodes[i%len(c.nodes)], fmt.Sprintf("%s%s%d", sweepPath, mark, i), "caller-7")
		}
		if i%requests == requests-1 {
			time.Sleep(roundTime)
		}
	}
	time.Sleep(2 * serverDownTime)
	end := time.Now().Add(lastDuration)
	for i := 0; time.Now().Before(end); i++ {
		c.attempt(c.nodes[i%len(c.nodes)], uri, "caller-8")
		time.Sleep(attemptPause)
	}
	others.stop()
	c.judge(k)
}

// playHerd sends a request that crashes each server that runs it to one node after the other. With trouble, all nodes are
// killed at the same moment, twice.
func (c *caseRun) playHerd() {
	const (
		uri       = sweepPath + "crash-x"
		duration  = 90 * time.Second
		firstKill = 25 * time.Second
		nextKill  = 35 * time.Second
		kills     = 2
		downTime  = time.Second
	)
	c.startDeployment()
	k := newCrasher()
	for _, s := range c.servers {
		s.behave = func(r *http.Request) {
			if r.RequestURI == uri {
				k.run(c, r.Header.Get("X-Attempt-Id"), s)
				c.crashServer(s)
				panic(http.ErrAbortHandler)
			}
		}
	}
	others := c.startTraffic(func(id string) string { return sweepPath + id })
	killed := 0
	for i := 0; time.Since(startedAt) < 10*time.Second+duration; i++ {
		if c.trouble && killed < kills && time.Since(startedAt) > firstKill+time.Duration(killed)*nextKill {
			killed++
			c.restartAll(downTime)
			time.Sleep(contactTime + time.Second)
		}
		c.attempt(c.nodes[i%len(c.nodes)], uri, "caller-7")
		time.Sleep(attemptPause)
	}
	others.stop()
	c.judge(k)
}

// restartAll kills all nodes at the same moment and starts them again.
func (c *caseRun) restartAll(downTime time.Duration) {
	for _, n := range c.nodes {
		n.signal(syscall.SIGKILL)
	}
	c.log("all nodes are killed")
	for _, n := range c.nodes {
		<-n.ended
		n.clearBootstrap()
	}
	time.Sleep(downTime)
	for _, n := range c.nodes {
		n.start()
	}
	c.log("all nodes are started again")
}
