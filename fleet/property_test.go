package fleet

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	// propertyChecks and propertySeed make the run in CI the same each time. More runs:
	// go test ./fleet -run Property -rapid.checks=5000 -rapid.seed=0
	propertyChecks = 150
	propertySeed   = 20261204
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]int{"rapid.checks": propertyChecks, "rapid.seed": propertySeed} {
		if !given[name] {
			if err := flag.Set(name, strconv.Itoa(value)); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Two faults at once, of any kind, must break none of the invariants.
func TestPropertyAllFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(allFaults...).Draw(t, "plan")
		s := runPlan(p, defaultRules())
		if s.found != nil {
			t.Fatalf("%s: %s\n%s", s.found.invariant, s.found.detail, strings.Join(s.trace, "\n"))
		}
	})
}

// Documents that move the seats of a slice to other domains must not give it two holders. A
// partition is left out: nodes behind it keep the seats of the older document.
func TestPropertyReshape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(faultReshape, faultReplace, faultPause, faultLeave).Draw(t, "plan")
		s := runPlan(p, defaultRules())
		if s.found != nil {
			t.Fatalf("%s: %s\n%s", s.found.invariant, s.found.detail, strings.Join(s.trace, "\n"))
		}
	})
}

// One broken link, in one or both directions, must take no member down.
func TestPropertyOneLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(faultLink).Draw(t, "plan")
		p.Faults = p.Faults[:1]
		s := runPlan(p, defaultRules())
		if s.found != nil {
			t.Fatalf("%s: %s\n%s", s.found.invariant, s.found.detail, strings.Join(s.trace, "\n"))
		}
	})
}

// Each check must notice a broken rule; otherwise its silence proves nothing.
func TestBrokenRulesAreCaught(t *testing.T) {
	const attempts = 400
	cases := []struct {
		name   string
		expect invariant
		faults []faultKind
		single bool
		change func(*rules)
	}{
		{"a restarted seat promises at once", oneHolder, []faultKind{faultReplace}, false, func(r *rules) {
			r.startAbstention, r.seatAbstention = 0, 0
		}},
		{"a seat taken over promises at once", oneHolder, []faultKind{faultLeave, faultReplace, faultPause}, false, func(r *rules) {
			r.seatAbstention = 0
		}},
		{"a seat forgets its promise early", oneHolder, []faultKind{faultLoss, faultLink}, false, func(r *rules) {
			r.promiseTime = RenewEvery / 2
		}},
		{"a holder uses its lease too long", afterOld, []faultKind{faultReplace, faultPause}, false, func(r *rules) {
			r.holderTime = 2 * LeaseTime
		}},
		{"one promise grants a lease", oneHolder, []faultKind{faultPartition}, false, func(r *rules) {
			r.quorum = func(int) int { return 1 }
		}},
		{"a promise of a seat taken over counts in full", oneHolder, []faultKind{faultPartition}, false, func(r *rules) {
			r.provisionalTime = 0
		}},
		{"new seats promise at once", oneHolder, []faultKind{faultReshape, faultPause, faultLoss, faultLink}, false, func(r *rules) {
			r.documentAbstention, r.seatAbstention = 0, 0
		}},
		{"any document is accepted", noReversal, []faultKind{faultConfig, faultPartition, faultDelay}, false, func(r *rules) {
			r.accepts = func(uint64, uint64) bool { return true }
		}},
		{"a fresh node is ready without a majority", readyCurrent, []faultKind{faultReplace, faultConfig}, false, func(r *rules) {
			r.quorum = func(group int) int {
				if group == simNodes {
					return 1
				}
				return group/2 + 1
			}
		}},
		{"one observer takes a member down", linkNotDown, []faultKind{faultLink}, true, func(r *rules) {
			r.observers, r.refuteTime = 1, 0
		}},
		{"a lease ends before it begins", served, []faultKind{faultPause}, false, func(r *rules) {
			r.holderTime = 0
		}},
		{"tables are never fetched", converges, []faultKind{faultPartition, faultLoss, faultReplace}, false, func(r *rules) {
			r.digestStreak = 1 << 30
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := defaultRules()
			c.change(&r)
			plans := planOf(c.faults...)
			for i := range attempts {
				p := plans.Example(i)
				if c.single {
					p.Faults = p.Faults[:1]
				}
				s := runPlan(p, r)
				if s.found != nil && s.found.invariant == c.expect {
					t.Logf("attempt %d: %s", i, s.found.detail)
					return
				}
			}
			t.Fatalf("no run of %d noticed: %s", attempts, c.expect)
		})
	}
}
