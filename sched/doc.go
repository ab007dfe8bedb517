// Package sched schedules the requests of one slice on its backend servers: admission, concurrency
// limits, replica selection, canary requests, hedges and retries. It is a state machine that performs
// no I/O: each call takes the current time and returns the actions to execute. It is not safe for
// concurrent use.
package sched
