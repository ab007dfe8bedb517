// Package sched schedules the requests of one slice on its backend servers: admission, permits,
// replica choice, canary requests, hedges and retries. It is a state machine without input or
// output: each call takes the time and returns the actions to carry out. It is not safe for
// concurrent use.
package sched
