// Command world2 plays the cases of the second review. It starts processes of the system on loopback addresses, with
// stand-ins for the platform's store, the servers and the clients, and judges what the stand-ins saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns what broke the rule, or "" if the rule held. Without trouble, it plays the
// same without the disruption.
var cases = map[string]func(w *world, trouble bool) (string, error){
	"splice":        splice,
	"one-shard":     oneShard,
	"cold-restart":  coldRestart,
	"poison":        poison,
	"poison-repeat": poisonRepeat,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE")
		os.Exit(exitCannot)
	}
	os.Exit(play(cases[os.Args[1]]))
}

func play(run func(*world, bool) (string, error)) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		return exitCannot
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("trouble: %t", trouble)
	type verdict struct {
		broken string
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := run(w, trouble)
		done <- verdict{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var v verdict
	select {
	case v = <-done:
	case s := <-stop:
		v.err = fmt.Errorf("ended by %s", s)
	case <-time.After(timeLimit):
		v.err = fmt.Errorf("not done after %s", timeLimit)
	}
	switch {
	case v.err != nil:
		w.note("the case cannot run: %v", v.err)
		fmt.Fprintln(os.Stderr, "the case cannot run:", v.err)
		return exitCannot
	case v.broken != "":
		w.note("rule broken: %s", v.broken)
		fmt.Println("rule broken:", v.broken)
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
