package proof

import (
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/arbutusthread/arbutusthread/wire"
)

// States of an order key in orderModel.
const (
	keyInitial  = iota // never sent, or sent but not yet received by a server
	keyMayRun          // may be executed at any time
	keyExecuted        // was executed once
	keyClosed          // was not executed and never will be
)

// observation is one observation of an order key: the outcome reported to a caller, or the number of executions
// on the servers.
type observation struct {
	key     string
	outcome wire.Outcome
	// counted means that the observation is the number of executions (runs) at the end of the history.
	counted bool
	runs    int
}

// orderModel allows at most one execution of each key, an answer only for an order that was executed, and a refusal
// only for an order that was not executed and never will be.
var orderModel = (&porcupine.NondeterministicModel{
	Partition: partition(func(o porcupine.Operation) string { return o.Output.(observation).key }),
	Init:      func() []any { return []any{keyInitial} },
	Step: func(state, _, output any) []any {
		s, o := state.(int), output.(observation)
		switch {
		case o.counted && o.runs == 1 && (s == keyExecuted || s == keyMayRun):
			return []any{keyExecuted}
		case o.counted && o.runs == 0 && s != keyExecuted:
			return []any{s}
		case o.counted:
			return nil
		case o.outcome == wire.Answered && s != keyClosed:
			return []any{keyExecuted}
		case o.outcome == wire.Refused && s != keyExecuted:
			return []any{keyClosed}
		case o.outcome == wire.Unknown && s == keyInitial:
			return []any{keyMayRun}
		case o.outcome == wire.Unknown:
			return []any{s}
		}
		return nil
	},
}).ToModel()

// versionObservation is a configuration version that was active in one incarnation of a node.
type versionObservation struct {
	incarnation string
	version     uint64
}

// versionModel allows no reversal of the configuration version within one incarnation of a node.
var versionModel = porcupine.Model{
	Partition: partition(func(o porcupine.Operation) string { return o.Output.(versionObservation).incarnation }),
	Init:      func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		v := output.(versionObservation).version
		return v >= state.(uint64), v
	},
}

func partition(key func(porcupine.Operation) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(ops []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range ops {
			parts[key(o)] = append(parts[key(o)], o)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	}
}

// history collects operations for a linearizability check. It is safe for concurrent use.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{begin: time.Now()} }

func (h *history) add(from time.Time, output any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		Call: int64(from.Sub(h.begin)), Output: output, Return: int64(time.Since(h.begin)),
	})
}

func (h *history) check(t *testing.T, name string, m porcupine.Model) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := porcupine.CheckOperationsTimeout(m, h.ops, 20*time.Second); r != porcupine.Ok {
		t.Errorf("history of %s: %s", name, r)
		for _, part := range m.Partition(h.ops) {
			if porcupine.CheckOperations(m, part) {
				continue
			}
			sort.Slice(part, func(i, j int) bool { return part[i].Call < part[j].Call })
			for _, o := range part {
				t.Logf("%v to %v: %+v", time.Duration(o.Call), time.Duration(o.Return), o.Output)
			}
		}
	}
}

// Guards against a model that accepts an invalid history.
func TestModelsRejectBrokenHistories(t *testing.T) {
	cases := []struct {
		model porcupine.Model
		good  bool
		seen  []any
	}{
		{orderModel, true, []any{observation{outcome: wire.Unknown}, observation{outcome: wire.Answered}, observation{counted: true, runs: 1}}},
		{orderModel, true, []any{observation{outcome: wire.Unknown}, observation{outcome: wire.Refused}, observation{counted: true}}},
		{orderModel, false, []any{observation{outcome: wire.Answered}, observation{counted: true, runs: 2}}},
		{orderModel, false, []any{observation{outcome: wire.Answered}, observation{counted: true}}},
		{orderModel, false, []any{observation{outcome: wire.Refused}, observation{counted: true, runs: 1}}},
		{orderModel, false, []any{observation{outcome: wire.Refused}, observation{outcome: wire.Answered}}},
		{versionModel, true, []any{versionObservation{"a", 1}, versionObservation{"b", 3}, versionObservation{"a", 2}}},
		{versionModel, false, []any{versionObservation{"a", 2}, versionObservation{"a", 1}}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			var ops []porcupine.Operation
			for k, v := range c.seen {
				ops = append(ops, porcupine.Operation{Call: int64(2 * k), Output: v, Return: int64(2*k + 1)})
			}
			if porcupine.CheckOperations(c.model, ops) != c.good {
				t.Errorf("%+v: want %v", c.seen, c.good)
			}
		})
	}
}
