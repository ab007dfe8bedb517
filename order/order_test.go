package order

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/wire"
)

// specification is the sequential model of one key as its caller observes it: fresh, closed, or run once with
// a body. A send whose outcome is unknown may take effect at any later time.
var specification = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{"fresh"} },
	Step: func(state, input, output any) []any {
		c, r := input.(call), output.(reply)
		done := fmt.Sprintf("done %d", c.body)
		switch {
		case r.outcome == wire.Unknown && c.send && c.owner && state == "fresh" && r.reason != wire.ReasonKeyForeign:
			return []any{state, done}
		case r.outcome == wire.Unknown:
			return []any{state}
		case !c.owner:
			return transition(r.outcome == wire.Refused, state)
		case r.outcome == wire.Refused:
			return transition(state == "fresh" || state == "closed", "closed")
		case c.send:
			return transition((state == "fresh" || state == done) && r.body == c.body && r.run == 1, done)
		}
		return transition(state == fmt.Sprintf("done %d", r.body) && r.run == 1, state)
	},
}).ToModel()

func transition(ok bool, next any) []any {
	if !ok {
		return nil
	}
	return []any{next}
}

// findViolation runs the actions and returns a description of the violation that it finds, or "". It checks
// that no key runs twice, that none runs after "not run", and that the history is linearizable.
func findViolation(m mutation, actions []uint32) string {
	s := newSimulation(m)
	for _, v := range actions {
		s.step(v)
	}
	refused := make(map[string]bool)
	histories := make(map[string][]porcupine.Operation)
	for _, o := range s.ops {
		c, r := o.Input.(call), o.Output.(reply)
		histories[c.key] = append(histories[c.key], o)
		refused[c.key] = refused[c.key] || c.owner && r.outcome == wire.Refused
	}
	for k, n := range s.runs {
		if n > 1 {
			return fmt.Sprintf("an order ran %d times", n)
		}
		if refused[k] {
			return "an order ran although it was refused as not run"
		}
	}
	for _, h := range histories {
		if v := porcupine.CheckOperationsTimeout(specification, h, 5*time.Second); v != porcupine.Ok {
			return "linearizability check of the history: " + string(v)
		}
	}
	return ""
}

// TestAtMostOnce guards against an order that runs twice or runs after "not run", under crashes and
// replacements of the issuer, pauses, lost and duplicated messages, resends and a clock that steps back.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actions := rapid.SliceOfN(rapid.Uint32(), 50, 300).Draw(t, "actions")
		if v := findViolation("", actions); v != "" {
			t.Fatal(v)
		}
	})
}

// TestMutationsAreDetected guards against a check that passes whatever the table does: it must find a violation
// for each mutation.
func TestMutationsAreDetected(t *testing.T) {
	for _, m := range []mutation{
		restartReusesIncarnation, evictedKeyIsIssued, unknownOutcomeRetries, unknownOutcomeCloses, unknownKeyStarts,
		runningKeyStarts, closedKeyStarts, staleAttemptAccepted, expiredKeyStarts, bodyNotChecked, callerNotChecked,
	} {
		t.Run(string(m), func(t *testing.T) {
			actions := make([]uint32, 200)
			for seed := range uint64(3000) {
				random := rand.New(rand.NewPCG(seed, 1))
				for i := range actions {
					actions[i] = random.Uint32()
				}
				if v := findViolation(m, actions); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatal("no violation found in 3000 runs")
		})
	}
}

// TestBounds guards against a table that grows without limit, and against "not run" for an order whose outcome
// is no longer retained.
func TestBounds(t *testing.T) {
	is := is.New(t)
	s := newSimulation("")
	v, now := s.tables[0], s.now
	v.config.MaxKeys, v.config.MaxCallerKeys, v.config.MaxResults = 4, 3, 10
	keys, f := v.Issue(now, "clogs", "school", 3)
	is.True(f == nil)
	_, f = v.Issue(now, "clogs", "school", 1)
	is.Equal(f.Reason, wire.ReasonOverload)
	_, f = v.Issue(now, "clogs", "festival", 2)
	is.Equal(f.Reason, wire.ReasonOverload)
	r := Request{Key: keys[0].Key, Service: "clogs", Caller: "school", Body: json.RawMessage(`{"a": "<"}`)}
	o := v.Start(now, r)
	is.True(o.Dispatch)
	is.True(v.Finish(now, o.Attempt, json.RawMessage(`"0123456789"`)))
	r.Body = json.RawMessage(`{"a":"\u003c"}`) // as a relay encodes it
	is.Equal(v.Start(now, r).State, Done)
	r.Key = keys[1].Key
	is.Equal(v.Start(now, r).Failure.Reason, wire.ReasonOverload)
	now = now.Add(v.config.Lifetime)
	r.Key = keys[2].Key
	o = v.Start(now, r)
	is.True(o.Failure.NotRun)
	is.Equal(o.Failure.Reason, wire.ReasonKeyExpired)
	v.Expire(now.Add(v.config.Retention))
	is.Equal(v.Len(), 0)
	is.Equal(v.resultBytes+len(v.callerKeys), 0)
	r.Key = keys[0].Key
	o = v.LookUp(now.Add(v.config.Retention), r)
	is.Equal(o.Failure.Outcome, wire.Unknown)
	v.Stop()
	_, f = v.Issue(now, "clogs", "school", 1)
	is.Equal(f.Reason, wire.ReasonStopping)
}

// TestForgedKey guards against a key that callers can forge or modify, and against "not run" for a key whose
// fleet key was rotated out.
func TestForgedKey(t *testing.T) {
	is := is.New(t)
	s := newSimulation("")
	keys, _ := s.tables[0].Issue(s.now, "clogs", "school", 1)
	text := keys[0].Key
	for i := range text {
		for _, c := range "AQgw_" {
			forged := text[:i] + string(c) + text[i+1:]
			_, err := s.signer.Parse(forged)
			is.True(forged == text || err != nil)
		}
	}
	before, after := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	is.Equal(must(must(NewSigner([][]byte{after, before})).Parse(text)).Caller, "school")
	s.tables[0].config.Signer = must(NewSigner([][]byte{after}))
	f := s.tables[0].Start(s.now, Request{Key: text, Service: "clogs", Caller: "school"}).Failure
	is.Equal(f.Outcome, wire.Unknown)
	is.True(!f.Forwarded)
}

// FuzzKey guards against a panic on invalid input, and against two encodings of one key.
func FuzzKey(f *testing.F) {
	s := newSimulation("")
	keys, _ := s.tables[0].Issue(s.now, "clogs", "school", 1)
	f.Add(keys[0].Key)
	f.Add(strings.Repeat("A", maxTextBytes))
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := s.signer.Parse(text); err != nil && !errors.IsAny(err, ErrMalformed, ErrInvalidSignature) {
			t.Fatal(err)
		}
		b, err := encoding.DecodeString(text)
		k, ok := parseBody(b)
		if err != nil || !ok || len(b) > maxTextBytes/2 {
			return
		}
		signed, err := s.signer.Sign(k)
		if err != nil {
			return
		}
		c, _ := encoding.DecodeString(signed)
		if got, err := s.signer.Parse(signed); err != nil || got != k || string(c[:len(b)]) != string(b) {
			t.Fatalf("%x is encoded again as %x: %v", b, c, err)
		}
	})
}
