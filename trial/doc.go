// Package trial measures the policies of package sched against baselines in virtual time: seeded
// arrivals, one or a few senders, and seeded models of backend servers. It opens no socket, so a
// run with the same seed always gives the same figures. It is no simulator of a fleet: there are
// no nodes and no network but a fixed delay.
package trial
