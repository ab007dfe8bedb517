// Package drill benchmarks package gather against baselines in a discrete-event simulation with virtual
// time. Request arrivals at a few nodes are seeded, and so are the models of the backend servers, which
// queue, shed, pause, slow down or stop responding. Each case is a load pattern or fault together with the
// mechanism that has to handle it. The network is a fixed delay, and all policies of a case get the same
// arrivals and service times, so that runs with the same seed produce the same results.
package drill
