// Package trial benchmarks the policies of package sched against baselines in a discrete-event
// simulation with virtual time. Request arrivals and the models of the backend servers are seeded, and
// one or a few senders dispatch the requests. No sockets are opened, so runs with the same seed produce
// the same results. Nodes of a fleet are not simulated, and the network is a fixed delay. All policies
// of a case get the same arrivals, service times and slow episodes.
//
// # Traces
//
// A trace file contains one JSON object per line for each finished request, in any order:
//
//	{"At":"2026-01-01T00:00:00.0125Z","RequestId":"q1","Service":"cooperative-desk","Kind":"stock",
//	 "QueryHash":"00c0ffee00c0ffee","Timeout":"250ms","Outcome":"Answered","Latency":"13.2ms","Sends":141}
//
// The example is wrapped; a record must not be. At is the arrival time in RFC 3339 format, with any
// fraction of a second. The query is identified by its text in Query or by its fingerprint in QueryHash,
// 16 hexadecimal digits; without either, all queries of a service and kind are treated as the same query.
// Timeout, which must be positive, and Latency are durations such as "55ms". Outcome is Answered, Refused
// or Unknown. Sends is the number of shard requests. Unknown keys are rejected. Recorder writes the
// format, ReadTraces reads it, and Replay feeds the recorded arrivals to the scheduler, simulates the
// servers of a case, and compares the outcomes.
package trial
