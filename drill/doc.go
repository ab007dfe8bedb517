// Package drill measures package gather against baselines in virtual time: seeded arrivals at a few
// nodes, and models of backend servers that queue, shed, pause, turn slow or go dark. Each case is a
// load pattern with the decision that has to answer it. There is no network but a fixed delay, and all
// policies of a case get the same arrivals and service times, so that a seed always gives the same
// figures.
package drill
