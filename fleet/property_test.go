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
	// propertyChecks and propertySeed make CI runs reproducible. To run more checks:
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

// Guards against violated invariants when two or more faults of any kind overlap.
func TestPropertyAllFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(allFaults...).Draw(t, "plan")
		s := runPlan(p, defaultRules())
		if s.violation != nil {
			t.Fatalf("%s: %s\n%s", s.violation.invariant, s.violation.detail, strings.Join(s.trace, "\n"))
		}
	})
}

// Guards against two holders of a slice when a document moves its voters to other domains. Partitions
// are excluded, because nodes behind a partition keep the voters of the older document.
func TestPropertyReshape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(faultReshape, faultReplace, faultPause, faultLeave).Draw(t, "plan")
		s := runPlan(p, defaultRules())
		if s.violation != nil {
			t.Fatalf("%s: %s\n%s", s.violation.invariant, s.violation.detail, strings.Join(s.trace, "\n"))
		}
	})
}

// Guards against a member that is declared Down because of one broken link, in one or both directions.
func TestPropertyOneLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(faultLink).Draw(t, "plan")
		p.Faults = p.Faults[:1]
		s := runPlan(p, defaultRules())
		if s.violation != nil {
			t.Fatalf("%s: %s\n%s", s.violation.invariant, s.violation.detail, strings.Join(s.trace, "\n"))
		}
	})
}

// Guards against invariant checks that cannot fail: each must detect the violation of a protocol rule.
func TestViolatedRulesAreDetected(t *testing.T) {
	const attempts = 400
	cases := []struct {
		name   string
		expect invariant
		faults []faultKind
		single bool
		change func(*rules)
	}{
		{"a restarted voter does not abstain", oneHolder, []faultKind{faultReplace}, false, func(r *rules) {
			r.startAbstention, r.voterAbstention = 0, 0
		}},
		{
			"a replaced voter does not abstain", oneHolder,
			[]faultKind{faultLeave, faultReplace, faultPause},
			false, func(r *rules) {
				r.voterAbstention = 0
			},
		},
		{"a voter drops its promise early", oneHolder, []faultKind{faultLoss, faultLink}, false, func(r *rules) {
			r.promiseDuration = RenewInterval / 2
		}},
		{"a holder uses its lease after expiry", noOverlap, []faultKind{faultReplace, faultPause}, false, func(r *rules) {
			r.holderDuration = 2 * LeaseDuration
		}},
		{"one promise is a quorum", oneHolder, []faultKind{faultPartition}, false, func(r *rules) {
			r.quorum = func(int) int { return 1 }
		}},
		{"promises of replaced voters are final", oneHolder, []faultKind{faultPartition}, false, func(r *rules) {
			r.provisionalDuration = 0
		}},
		{
			"new voters do not abstain", oneHolder,
			[]faultKind{faultReshape, faultPause, faultLoss, faultLink},
			false, func(r *rules) {
				r.documentAbstention, r.voterAbstention = 0, 0
			},
		},
		{
			"any document is accepted", noRollback,
			[]faultKind{faultConfig, faultPartition, faultDelay},
			false, func(r *rules) {
				r.accepts = func(uint64, uint64) bool { return true }
			},
		},
		{
			"a new node is ready without a majority", readyCurrent,
			[]faultKind{faultReplace, faultConfig},
			false, func(r *rules) {
				r.quorum = func(group int) int {
					if group == simNodes {
						return 1
					}
					return group/2 + 1
				}
			},
		},
		{"one observer marks a member Down", linkNotDown, []faultKind{faultLink}, true, func(r *rules) {
			r.observers, r.refuteTimeout = 1, 0
		}},
		{"a lease ends before it begins", served, []faultKind{faultPause}, false, func(r *rules) {
			r.holderDuration = 0
		}},
		{
			"tables are never fetched", converges,
			[]faultKind{faultPartition, faultLoss, faultReplace},
			false, func(r *rules) {
				r.digestMismatchLimit = 1 << 30
			},
		},
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
				if s.violation != nil && s.violation.invariant == c.expect {
					t.Logf("attempt %d: %s", i, s.violation.detail)
					return
				}
			}
			t.Fatalf("none of %d runs violated the invariant: %s", attempts, c.expect)
		})
	}
}
