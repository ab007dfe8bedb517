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

// What is known of an order key.
const (
	keyOpen   = iota // never sent, or sent without reaching a server yet
	keyMay           // may run at any time
	keyRan           // has run once
	keyClosed        // has not run and never will
)

// sight is one observation of an order key: what a caller was told, or how often servers ran it.
type sight struct {
	key     string
	outcome wire.Outcome
	// counted means that runs is the number of runs at the end of the history.
	counted bool
	runs    int
}

// orderModel allows at most one run of each key, an answer only of an order that ran, and a refusal
// only of one that has not run and never will.
var orderModel = (&porcupine.NondeterministicModel{
	Partition: partition(func(o porcupine.Operation) string { return o.Output.(sight).key }),
	Init:      func() []any { return []any{keyOpen} },
	Step: func(state, _, output any) []any {
		s, o := state.(int), output.(sight)
		switch {
		case o.counted && o.runs == 1 && (s == keyRan || s == keyMay):
			return []any{keyRan}
		case o.counted && o.runs == 0 && s != keyRan:
			return []any{s}
		case o.counted:
			return nil
		case o.outcome == wire.Answered && s != keyClosed:
			return []any{keyRan}
		case o.outcome == wire.Refused && s != keyRan:
			return []any{keyClosed}
		case o.outcome == wire.Unknown && s == keyOpen:
			return []any{keyMay}
		case o.outcome == wire.Unknown:
			return []any{s}
		}
		return nil
	},
}).ToModel()

// seen is the version that one life of a node had in force.
type seen struct {
	life    string
	version uint64
}

// versionModel allows no reversal of the configuration in one life of a node.
var versionModel = porcupine.Model{
	Partition: partition(func(o porcupine.Operation) string { return o.Output.(seen).life }),
	Init:      func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		v := output.(seen).version
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

// history collects operations. It is safe for concurrent use.
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

// Guards against a model that accepts a broken history.
func TestModelsRejectBrokenHistories(t *testing.T) {
	cases := []struct {
		model porcupine.Model
		good  bool
		seen  []any
	}{
		{orderModel, true, []any{sight{outcome: wire.Unknown}, sight{outcome: wire.Answered}, sight{counted: true, runs: 1}}},
		{orderModel, true, []any{sight{outcome: wire.Unknown}, sight{outcome: wire.Refused}, sight{counted: true}}},
		{orderModel, false, []any{sight{outcome: wire.Answered}, sight{counted: true, runs: 2}}},
		{orderModel, false, []any{sight{outcome: wire.Answered}, sight{counted: true}}},
		{orderModel, false, []any{sight{outcome: wire.Refused}, sight{counted: true, runs: 1}}},
		{orderModel, false, []any{sight{outcome: wire.Refused}, sight{outcome: wire.Answered}}},
		{versionModel, true, []any{seen{"a", 1}, seen{"b", 3}, seen{"a", 2}}},
		{versionModel, false, []any{seen{"a", 2}, seen{"a", 1}}},
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
