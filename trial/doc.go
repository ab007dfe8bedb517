// Package trial measures the policies of package sched against baselines in virtual time: seeded
// arrivals, one or a few senders, and seeded models of backend servers. It opens no socket, so a
// run with the same seed always gives the same figures. It is no simulator of a fleet: there are
// no nodes and no network but a fixed delay. All policies of a case get the same arrivals, service
// times and slow episodes.
//
// # Traces
//
// A trace file holds one JSON object in each line, in any order, for each finished request:
//
//	{"At":"2026-01-01T00:00:00.0125Z","RequestId":"q1","Service":"cooperative-desk","Kind":"stock",
//	 "QueryHash":"00c0ffee00c0ffee","Timeout":"250ms","Outcome":"Answered","Latency":"13.2ms","Sends":141}
//
// (here broken into two lines). At is the arrival in RFC 3339, with any fraction of a second. The query
// is named by its text in Query or by its fingerprint in QueryHash, 16 hexadecimal digits; with neither,
// all queries of a service and kind count as one. Timeout, above 0, and Latency are durations, such as
// "55ms". Outcome is Answered, Refused or Unknown. Sends is the number of shard requests. Other keys are
// errors. Recorder writes the format, ReadTraces reads it, and Replay drives the scheduler with the
// recorded arrivals against the models of a case and compares the outcomes.
package trial
