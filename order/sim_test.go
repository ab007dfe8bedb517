package order

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/arbutusthread/arbutusthread/wire"
)

// mutation is a rule that a faulty variant of the issuer breaks. The check must find a violation in it.
type mutation string

const (
	restartReusesIncarnation mutation = "a replacement on the same address reuses the incarnation"
	evictedKeyIsIssued       mutation = "a key that is no longer in the table counts as issued"
	unknownOutcomeRetries    mutation = "an attempt that may have run is retried"
	unknownOutcomeCloses     mutation = "an attempt that may have run closes the key"
	unknownKeyStarts         mutation = "an Unknown key starts again"
	runningKeyStarts         mutation = "a Running key starts again"
	closedKeyStarts          mutation = "a Closed key starts again"
	staleAttemptAccepted     mutation = "an answer to an earlier attempt counts for the latest"
	expiredKeyStarts         mutation = "an expired key runs after the clock has stepped back"
	bodyNotChecked           mutation = "a key is accepted with another body"
	callerNotChecked         mutation = "a key is accepted from another caller"
)

// issuedKey is a key that the caller has received from a node.
type issuedKey struct {
	text string
	node int
}

// call is the input of an operation in the history. A call without send looks up the outcome, and one without
// owner comes from another caller than the key.
type call struct {
	key         string
	body        int
	send, owner bool
}

// reply is the output of an operation in the history.
type reply struct {
	outcome   wire.Outcome
	reason    wire.Reason
	body, run int
}

// waiting is an operation that waits for the end of a Running key.
type waiting struct {
	op      int
	request Request
	table   *Table
	settled <-chan struct{}
}

// simulation has three issuers and one backend server without deduplication. Messages are delivered in any
// order, lost or duplicated.
type simulation struct {
	mutation       mutation
	now            time.Time
	signer         *Signer
	tables         [3]*Table
	started, clock int64
	issued         []issuedKey
	messages       []func()
	ops            []porcupine.Operation
	pending        []waiting
	runs           map[string]int
	random         *rand.Rand
}

const never = int64(1) << 60

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newSimulation(m mutation) *simulation {
	s := &simulation{mutation: m, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), runs: make(map[string]int)}
	s.signer = must(NewSigner([][]byte{[]byte("0123456789abcdef")}))
	for i := range s.tables {
		s.restartIssuer(i)
	}
	return s
}

func (s *simulation) restartIssuer(i int) {
	s.started++
	incarnation := s.started
	if s.mutation == restartReusesIncarnation {
		incarnation = 1
	}
	s.tables[i] = must(NewTable(Config{
		Issuer:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000),
		Incarnation: uint64(incarnation), Signer: s.signer, Lifetime: 10 * time.Second, Retention: 5 * time.Second,
	}))
}

// step performs the action that v selects.
func (s *simulation) step(v uint32) {
	s.random = rand.New(rand.NewPCG(uint64(v), 7))
	switch n := v % 100; {
	case n < 8 || len(s.issued) == 0:
		i := s.random.IntN(3)
		if keys, f := s.tables[i].Issue(s.now, "clogs", "school", 1); f == nil {
			s.issued = append(s.issued, issuedKey{keys[0].Key, i})
		}
	case n < 34:
		k := s.issued[max(0, len(s.issued)-1-s.random.IntN(4))] // earlier keys have their outcome already
		owner := s.random.IntN(12) > 0
		s.startOperation(k, call{key: k.text, body: s.random.IntN(12) / 11, send: s.random.IntN(4) > 0, owner: owner})
	case n < 78:
		s.deliver(false)
	case n < 84:
		s.deliver(true)
	case n < 90:
		s.now = s.now.Add(time.Duration(s.random.IntN(5000)) * time.Millisecond)
	case n < 93:
		s.now = s.now.Add(-time.Duration(s.random.IntN(15000)) * time.Millisecond)
	case n < 95:
		s.restartIssuer(s.random.IntN(3))
	default:
		s.loseAttempt()
	}
	s.settle()
}

// startOperation queues the message of an operation to the issuer's address.
func (s *simulation) startOperation(k issuedKey, c call) {
	s.clock++
	op := len(s.ops)
	s.ops = append(s.ops, porcupine.Operation{
		ClientId: op, Input: c, Call: s.clock, Output: reply{outcome: wire.Unknown}, Return: never,
	})
	r := Request{Key: k.text, Service: "clogs", Caller: "school", Body: json.RawMessage(fmt.Sprint(c.body))}
	if !c.owner {
		r.Caller = "festival"
	}
	s.messages = append(s.messages, func() { s.receive(op, s.tables[k.node], r, c.send) })
}

func (s *simulation) receive(op int, t *Table, r Request, send bool) {
	s.applyMutation(t, &r)
	handle := t.LookUp
	if send {
		handle = t.Start
	}
	o := handle(s.now, r)
	if s.mutation == expiredKeyStarts && o.Failure != nil && o.Failure.Reason == wire.ReasonKeyExpired &&
		o.State == Closed {
		t.entries[o.Attempt.Serial].state = Issued
		t.now = s.now
	}
	if o.Dispatch {
		s.dispatch(t, r, o.Attempt)
	}
	if o.Settled != nil {
		s.pending = append(s.pending, waiting{op, r, t, o.Settled})
		return
	}
	s.finish(op, o)
}

func (s *simulation) finish(op int, o Outcome) {
	v := reply{outcome: wire.Answered}
	if o.Failure != nil {
		v = reply{outcome: o.Failure.Outcome, reason: o.Failure.Reason}
	} else if err := json.Unmarshal(o.Result, &[]*int{&v.body, &v.run}); err != nil {
		panic(err)
	}
	s.ops[op].Output = v
	if s.clock++; v.outcome != wire.Unknown {
		s.ops[op].Return = s.clock
	}
}

// dispatch sends an attempt with an absolute deadline, because it may arrive late after a pause.
func (s *simulation) dispatch(t *Table, r Request, a Attempt) {
	deadline := s.now.Add(3 * time.Second)
	s.messages = append(s.messages, func() {
		notRun := wire.Refuse(wire.StepBackend, "", wire.ReasonBackend, "shed")
		if !s.now.Before(deadline) || s.random.IntN(3) == 0 {
			retry := s.random.IntN(4) > 0
			s.answer(func() { s.reportNotRun(t, r, a, notRun, retry) })
			return
		}
		s.runs[r.Key]++
		result := json.RawMessage(fmt.Sprintf("[%s,%d]", r.Body, s.runs[r.Key]))
		s.answer(func() { t.Finish(s.now, a, result) })
		if s.random.IntN(3) == 0 {
			s.reportUnknown(t, r, a, notRun)
		}
	})
}

// answer queues an answer, which may be delivered twice.
func (s *simulation) answer(deliver func()) {
	s.messages = append(s.messages, slices.Repeat([]func(){deliver}, 1+s.random.IntN(5)/4)...)
}

func (s *simulation) reportNotRun(t *Table, r Request, a Attempt, f *wire.Failure, retry bool) {
	if e := t.entries[a.Serial]; e != nil && s.mutation == staleAttemptAccepted {
		a.Number = e.attempt
	}
	if !retry {
		t.Close(s.now, a, f)
		return
	}
	if a, ok := t.Retry(s.now, a, f); ok {
		s.dispatch(t, r, a)
	}
}

func (s *simulation) reportUnknown(t *Table, r Request, a Attempt, f *wire.Failure) {
	switch s.mutation {
	case unknownOutcomeCloses:
		t.Close(s.now, a, f)
	case unknownOutcomeRetries:
		s.reportNotRun(t, r, a, f, true)
	default:
		t.MarkUnknown(s.now, a)
	}
}

// deliver delivers or loses a random message. The receiver may be a node that has been replaced.
func (s *simulation) deliver(lost bool) {
	if len(s.messages) == 0 {
		return
	}
	i := s.random.IntN(len(s.messages))
	m := s.messages[i]
	if s.messages = slices.Delete(s.messages, i, i+1); !lost {
		m()
	}
}

// loseAttempt makes an issuer treat an attempt without an answer as lost.
func (s *simulation) loseAttempt() {
	if len(s.pending) == 0 {
		return
	}
	p := s.pending[s.random.IntN(len(s.pending))]
	k, err := s.signer.Parse(p.request.Key)
	if e := p.table.entries[k.Serial]; err == nil && e != nil {
		f := wire.Refuse(wire.StepBackend, "", wire.ReasonBackend, "lost")
		s.reportUnknown(p.table, p.request, Attempt{k.Serial, e.attempt}, f)
	}
}

// settle finishes the operations that waited for a Running key whose state has changed.
func (s *simulation) settle() {
	s.pending = slices.DeleteFunc(s.pending, func(p waiting) bool {
		select {
		case <-p.settled:
			s.finish(p.op, p.table.LookUp(s.now, p.request))
			return true
		default:
			return false
		}
	})
}

// applyMutation breaks the rule of the mutation before a request reaches the table.
func (s *simulation) applyMutation(t *Table, r *Request) {
	k, err := s.signer.Parse(r.Key)
	if err != nil || k.Issuer != t.config.Issuer || k.Incarnation != t.config.Incarnation {
		return
	}
	if s.mutation == callerNotChecked {
		r.Caller = k.Caller
	}
	e := t.entries[k.Serial]
	switch {
	case e == nil && s.mutation == evictedKeyIsIssued:
		k.Expires = s.now.Add(time.Minute)
		t.entries[k.Serial] = &entry{key: k, state: Issued}
	case e == nil:
	case e.state == Unknown && s.mutation == unknownKeyStarts,
		e.state == Running && s.mutation == runningKeyStarts,
		e.state == Closed && s.mutation == closedKeyStarts:
		e.state = Issued
	case s.mutation == bodyNotChecked:
		e.digest = r.digest()
	}
}
