package trial

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Comparison compares the recorded and the replayed requests of one kind.
type Comparison struct {
	Kind     string `json:"Kind"`
	Requests int    `json:"Requests"`
	// Recorded and Replayed count requests by outcome.
	Recorded map[wire.Outcome]int `json:"Recorded"`
	Replayed map[wire.Outcome]int `json:"Replayed"`
	// Differ is the number of requests whose replayed outcome differs from the recorded one.
	Differ int `json:"Differ"`
	// RecordedP99 and ReplayedP99 are latencies of answered requests, 0 if there are none.
	RecordedP99 wire.Duration `json:"RecordedP99"`
	ReplayedP99 wire.Duration `json:"ReplayedP99"`
	// RecordedSends and ReplayedSends count shard requests.
	RecordedSends int `json:"RecordedSends"`
	ReplayedSends int `json:"ReplayedSends"`
}

// Replay runs the recorded arrivals against the servers of the case, with the worth and minimum coverage
// of its kinds, and compares the outcomes with the recorded ones. The times between arrivals are kept,
// and repeated queries have the same fingerprint. It returns an error for an empty trace, a kind that
// the case lacks, and records of several services: a case has one service, so such a trace must be split.
func Replay(c Case, p Policy, seed uint64, traces []Trace) (Result, []Comparison, error) {
	if len(traces) == 0 {
		return Result{}, nil, errors.New("trial: replay: the trace is empty")
	}
	traces = slices.Clone(traces)
	slices.SortStableFunc(traces, func(a, b Trace) int { return a.At.Compare(b.At) })
	start := traces[0].At
	c.Duration, c.Warmup = traces[len(traces)-1].At.Sub(start)+time.Second, 0
	byName := make(map[string]Kind, len(c.Kinds))
	for _, k := range c.Kinds {
		byName[k.Name] = k
	}
	c.Kinds = nil
	w := newWorld(c, p, seed)
	w.replayOutcomes = make([]replayOutcome, len(traces))
	for i, t := range traces {
		k, ok := byName[t.Kind]
		if t.Service != traces[0].Service {
			return Result{}, nil, errors.Newf(
				"trial: replay: trace contains services %q and %q, want one", traces[0].Service, t.Service)
		}
		if !ok {
			return Result{}, nil, errors.Newf("trial: replay: request %s: case %s has no kind %q", t.RequestID, c.Name, t.Kind)
		}
		k.Timeout = t.Timeout.Std()
		w.events.Add(t.At.Sub(start), func() {
			w.submitRequest(&request{id: t.RequestID, kind: &k, arrived: w.now, traceIndex: i}, t.Fingerprint())
		})
	}
	r := w.run()
	return r, w.compare(traces), nil
}

// replayOutcome is the result of a replayed request.
type replayOutcome struct {
	outcome wire.Outcome
	latency time.Duration
	sends   int
}

// recordOutcome saves the outcome of a request for the comparison and writes it to the recorder, if any.
func (w *world) recordOutcome(q *request, answered bool, f *wire.Failure) {
	if w.replayOutcomes == nil && w.recorder == nil {
		return
	}
	o := wire.Refused
	switch {
	case answered:
		o = wire.Answered
	case f != nil:
		o = f.Outcome
	}
	latency := w.now - q.arrived
	if w.replayOutcomes != nil {
		w.replayOutcomes[q.traceIndex] = replayOutcome{outcome: o, latency: latency, sends: q.sends}
	}
	w.recorder.Record(Trace{
		At: epoch.Add(q.arrived), RequestID: q.id, Service: "trial", Kind: q.kind.Name, QueryHash: q.fingerprint,
		Timeout: wire.Duration(q.kind.Timeout), Outcome: o, Latency: wire.Duration(latency), Sends: q.sends,
	})
}

func (w *world) compare(traces []Trace) []Comparison {
	byKind := make(map[string]*Comparison)
	recordedLatencies, replayedLatencies := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for i, t := range traces {
		v := byKind[t.Kind]
		if v == nil {
			v = &Comparison{Kind: t.Kind, Recorded: make(map[wire.Outcome]int), Replayed: make(map[wire.Outcome]int)}
			byKind[t.Kind] = v
		}
		r := w.replayOutcomes[i]
		v.Requests++
		v.Recorded[t.Outcome]++
		v.Replayed[r.outcome]++
		v.RecordedSends += t.Sends
		v.ReplayedSends += r.sends
		if r.outcome != t.Outcome {
			v.Differ++
		}
		if t.Outcome == wire.Answered {
			recordedLatencies[t.Kind] = append(recordedLatencies[t.Kind], t.Latency.Std())
		}
		if r.outcome == wire.Answered {
			replayedLatencies[t.Kind] = append(replayedLatencies[t.Kind], r.latency)
		}
	}
	list := make([]Comparison, 0, len(byKind))
	for name, v := range byKind {
		v.RecordedP99, v.ReplayedP99 = p99(recordedLatencies[name]), p99(replayedLatencies[name])
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b Comparison) int { return strings.Compare(a.Kind, b.Kind) })
	return list
}

// p99 returns the 99th percentile by nearest rank, or 0 for an empty list. It sorts the list in place.
func p99(list []time.Duration) wire.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return wire.Duration(list[(len(list)*99+99)/100-1])
}
