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

// rule is a rule that a variant of the issuer breaks. The check must then find a violation.
type rule string

const (
	restartKeepsIncarnation rule = "a replacement on the same address takes over the incarnation"
	forgottenIsIssued       rule = "a key that is no longer in the table counts as issued"
	retryAfterLoss          rule = "an attempt that may have run is retried"
	lossCloses              rule = "an attempt that may have run closes the key"
	unknownStarts           rule = "an Unknown key starts again"
	runningStarts           rule = "a Running key starts again"
	closedStarts            rule = "a Closed key starts again"
	oldAttemptCounts        rule = "an answer to an old attempt counts for the newest"
	expiredRevives          rule = "an expired key runs after the clock has stepped back"
	otherBodyFits           rule = "another body fits the key"
	otherCallerFits         rule = "another caller may use the key"
)

// sent is one key that a caller holds.
type sent struct {
	text string
	node int
}

// call is the input of an operation in the history.
type call struct {
	key         string
	body        int
	send, owner bool
}

// reply is the output of an operation.
type reply struct {
	outcome   wire.Outcome
	reason    wire.Reason
	body, run int
}

type waiting struct {
	op      int
	request Request
	table   *Table
	settled <-chan struct{}
}

// world is three issuers and one backend server without deduplication, with messages that are
// delivered in any order, lost or doubled.
type world struct {
	broken         rule
	now            time.Time
	signer         *Signer
	tables         [3]*Table
	started, clock int64
	keys           []sent
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

func newWorld(broken rule) *world {
	w := &world{broken: broken, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), runs: make(map[string]int)}
	w.signer = must(NewSigner([][]byte{[]byte("0123456789abcdef")}))
	for i := range w.tables {
		w.replace(i)
	}
	return w
}

func (w *world) replace(i int) {
	w.started++
	incarnation := w.started
	if w.broken == restartKeepsIncarnation {
		incarnation = 1
	}
	w.tables[i] = must(NewTable(Config{
		Issuer:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000),
		Incarnation: uint64(incarnation), Signer: w.signer, Lifetime: 10 * time.Second, Keep: 5 * time.Second,
	}))
}

// step performs the action that the number describes.
func (w *world) step(v uint32) {
	w.random = rand.New(rand.NewPCG(uint64(v), 7))
	switch n := v % 100; {
	case n < 8 || len(w.keys) == 0:
		i := w.random.IntN(3)
		if keys, f := w.tables[i].Issue(w.now, "clogs", "school", 1); f == nil {
			w.keys = append(w.keys, sent{keys[0].Key, i})
		}
	case n < 34:
		k := w.keys[max(0, len(w.keys)-1-w.random.IntN(4))] // old keys are settled
		owner := w.random.IntN(12) > 0
		w.operate(k, call{key: k.text, body: w.random.IntN(12) / 11, send: w.random.IntN(4) > 0, owner: owner})
	case n < 78:
		w.deliver(false)
	case n < 84:
		w.deliver(true)
	case n < 90:
		w.now = w.now.Add(time.Duration(w.random.IntN(5000)) * time.Millisecond)
	case n < 93:
		w.now = w.now.Add(-time.Duration(w.random.IntN(15000)) * time.Millisecond)
	case n < 95:
		w.replace(w.random.IntN(3))
	default:
		w.drop()
	}
	w.settle()
}

// operate begins an operation whose message goes to the issuer's address.
func (w *world) operate(k sent, c call) {
	w.clock++
	op := len(w.ops)
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: op, Input: c, Call: w.clock, Output: reply{outcome: wire.Unknown}, Return: never,
	})
	r := Request{Key: k.text, Service: "clogs", Caller: "school", Body: json.RawMessage(fmt.Sprint(c.body))}
	if !c.owner {
		r.Caller = "festival"
	}
	w.messages = append(w.messages, func() { w.receive(op, w.tables[k.node], r, c.send) })
}

func (w *world) receive(op int, t *Table, r Request, send bool) {
	w.sabotage(t, &r)
	act := t.LookUp
	if send {
		act = t.Start
	}
	o := act(w.now, r)
	if w.broken == expiredRevives && o.Failure != nil && o.Failure.Reason == wire.ReasonKeyExpired && o.State == Closed {
		t.entries[o.Attempt.Serial].state = Issued
		t.now = w.now
	}
	if o.Run {
		w.dispatch(t, r, o.Attempt)
	}
	if o.Settled != nil {
		w.pending = append(w.pending, waiting{op, r, t, o.Settled})
		return
	}
	w.finish(op, o)
}

func (w *world) finish(op int, o Outcome) {
	v := reply{outcome: wire.Answered}
	if o.Failure != nil {
		v = reply{outcome: o.Failure.Outcome, reason: o.Failure.Reason}
	} else if err := json.Unmarshal(o.Result, &[]*int{&v.body, &v.run}); err != nil {
		panic(err)
	}
	w.ops[op].Output = v
	if w.clock++; v.outcome != wire.Unknown {
		w.ops[op].Return = w.clock
	}
}

// dispatch sends an attempt with an absolute deadline, as after a pause it may arrive late.
func (w *world) dispatch(t *Table, r Request, a Attempt) {
	deadline := w.now.Add(3 * time.Second)
	w.messages = append(w.messages, func() {
		notRun := wire.Refuse(wire.StepBackend, "", wire.ReasonBackend, "shed")
		if !w.now.Before(deadline) || w.random.IntN(3) == 0 {
			again := w.random.IntN(4) > 0
			w.answer(func() { w.refused(t, r, a, notRun, again) })
			return
		}
		w.runs[r.Key]++
		result := json.RawMessage(fmt.Sprintf("[%s,%d]", r.Body, w.runs[r.Key]))
		w.answer(func() { t.Finish(w.now, a, result) })
		if w.random.IntN(3) == 0 {
			w.lose(t, r, a, notRun)
		}
	})
}

// answer queues a message that may be delivered twice.
func (w *world) answer(deliver func()) {
	w.messages = append(w.messages, slices.Repeat([]func(){deliver}, 1+w.random.IntN(5)/4)...)
}

func (w *world) refused(t *Table, r Request, a Attempt, f *wire.Failure, again bool) {
	if e := t.entries[a.Serial]; e != nil && w.broken == oldAttemptCounts {
		a.Number = e.attempt
	}
	if !again {
		t.Close(w.now, a, f)
		return
	}
	if a, ok := t.Retry(w.now, a, f); ok {
		w.dispatch(t, r, a)
	}
}

func (w *world) lose(t *Table, r Request, a Attempt, f *wire.Failure) {
	switch w.broken {
	case lossCloses:
		t.Close(w.now, a, f)
	case retryAfterLoss:
		w.refused(t, r, a, f, true)
	default:
		t.Lose(w.now, a)
	}
}

// deliver passes on any message, also to a node that has been replaced, or loses it.
func (w *world) deliver(lost bool) {
	if len(w.messages) == 0 {
		return
	}
	i := w.random.IntN(len(w.messages))
	m := w.messages[i]
	if w.messages = slices.Delete(w.messages, i, i+1); !lost {
		m()
	}
}

// drop lets an issuer give up an attempt whose answer has not arrived.
func (w *world) drop() {
	if len(w.pending) == 0 {
		return
	}
	p := w.pending[w.random.IntN(len(w.pending))]
	k, err := w.signer.Parse(p.request.Key)
	if e := p.table.entries[k.Serial]; err == nil && e != nil {
		f := wire.Refuse(wire.StepBackend, "", wire.ReasonBackend, "lost")
		w.lose(p.table, p.request, Attempt{k.Serial, e.attempt}, f)
	}
}

// settle ends the operations that waited for a Running key.
func (w *world) settle() {
	w.pending = slices.DeleteFunc(w.pending, func(p waiting) bool {
		select {
		case <-p.settled:
			w.finish(p.op, p.table.LookUp(w.now, p.request))
			return true
		default:
			return false
		}
	})
}

// sabotage breaks the rule of the variant before a request reaches the table.
func (w *world) sabotage(t *Table, r *Request) {
	k, err := w.signer.Parse(r.Key)
	if err != nil || k.Issuer != t.config.Issuer || k.Incarnation != t.config.Incarnation {
		return
	}
	if w.broken == otherCallerFits {
		r.Caller = k.Caller
	}
	e := t.entries[k.Serial]
	switch {
	case e == nil && w.broken == forgottenIsIssued:
		k.Expires = w.now.Add(time.Minute)
		t.entries[k.Serial] = &entry{key: k, state: Issued}
	case e == nil:
	case e.state == Unknown && w.broken == unknownStarts,
		e.state == Running && w.broken == runningStarts,
		e.state == Closed && w.broken == closedStarts:
		e.state = Issued
	case w.broken == otherBodyFits:
		e.digest = r.digest()
	}
}
