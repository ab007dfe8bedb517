// Command three starts the project's nodes with stand-ins on loopback addresses and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(c *caseRun){}

// caseRun is one run of a case.
type caseRun struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	dir     string
	store   *store
	servers []*server
	nodes   []*node
	// shards is the number of shards, and rate the number of ordinary requests a second to each node.
	shards int
	rate   int
	// coldPerSecond is what a cold server tolerates, 0 for no limit.
	coldPerSecond float64

	mu     sync.Mutex
	record *os.File
	broken []string
}

// log writes a line to record.txt.
func (c *caseRun) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that the rule was broken.
func (c *caseRun) fail(format string, args ...any) {
	c.log("BROKEN "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

var current *caseRun

// startedAt is the start of the case, to which the times of its record refer.
var startedAt = time.Now()

func giveUp(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	current.end(exitNotRun)
}

func must(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}

// end ends all processes that the case has started, and exits.
func (c *caseRun) end(code int) {
	for _, n := range c.nodes {
		if n.process != nil && n.isRunning() {
			_ = n.process.Process.Kill()
			<-n.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
	os.Exit(code)
}

func main() {
	current = &caseRun{trouble: os.Getenv("TROUBLE") != "0", shards: shardCount, rate: ordinaryRate}
	c := current
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: three CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	var err error
	c.record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	must(err)
	c.dir, err = os.MkdirTemp("", "case")
	must(err)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(115 * time.Second):
		}
		giveUp("stopped before its end")
	}()
	cases[os.Args[1]](c)
	if len(c.broken) > 0 {
		fmt.Printf("BROKEN: %s (%d findings, see record.txt)\n", c.broken[0], len(c.broken))
		c.end(exitBroken)
	}
	fmt.Println("held")
	c.end(exitHeld)
}
