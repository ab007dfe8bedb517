package order

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/option"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Defaults of Config.
const (
	defaultLifetime = 60 * time.Second
	// defaultKeep lets a caller that was cut off ask for the outcome after the key has expired.
	defaultKeep     = 60 * time.Second
	defaultMaxKeys  = 100_000
	defaultMaxBatch = 100
	// callerShare is the share of the table that one caller may fill, so that it cannot keep
	// others from placing orders.
	callerShare = 4
	// defaultMaxResults is in bytes.
	defaultMaxResults = 64 << 20
)

// Config holds the identity of the issuer and the bounds of its table. A zero bound takes its
// default.
type Config struct {
	Issuer      netip.AddrPort
	Incarnation uint64
	Signer      *Signer
	// Lifetime is the time in which a key may be started.
	Lifetime time.Duration
	// Keep is the time after its expiry for which the outcome of a key is kept.
	Keep time.Duration
	// MaxKeys bounds the keys in the table, and MaxBatch those of one request.
	MaxKeys  int
	MaxBatch int
	// MaxCallerKeys bounds the keys of one caller. The default is a quarter of MaxKeys.
	MaxCallerKeys int
	// MaxResults is the size of kept results, in bytes, from which on no key is issued or
	// started. Results of orders in flight may exceed it.
	MaxResults int
}

// Table holds the keys of one incarnation of an issuer. It is not safe for concurrent use.
type Table struct {
	config  Config
	entries map[uint64]*entry
	// callers counts the keys of each caller.
	callers map[string]int
	// queue lists serials in the order of their expiry.
	queue   []uint64
	next    uint64
	running int
	results int
	stopped bool
	// now is the latest time seen. A clock that steps back must not revive an expired key.
	now time.Time
}

// NewTable returns an empty table. It fails without a signer, an address or an incarnation.
func NewTable(c Config) (*Table, error) {
	if c.Signer == nil || !c.Issuer.IsValid() || c.Incarnation == 0 {
		return nil, errors.New("order: a table needs a signer, an address and an incarnation")
	}
	c.Lifetime = option.Positive(c.Lifetime, defaultLifetime)
	c.Keep = option.Positive(c.Keep, defaultKeep)
	c.MaxKeys = option.Positive(c.MaxKeys, defaultMaxKeys)
	c.MaxBatch = option.Positive(c.MaxBatch, defaultMaxBatch)
	c.MaxCallerKeys = option.Positive(c.MaxCallerKeys, max(1, c.MaxKeys/callerShare))
	c.MaxResults = option.Positive(c.MaxResults, defaultMaxResults)
	return &Table{
		config: c, entries: make(map[uint64]*entry), callers: make(map[string]int), next: 1,
	}, nil
}

// Issue returns count new keys, or a refusal when the table is full or stopped.
func (t *Table) Issue(now time.Time, service, caller string, count int) ([]wire.OrderKey, *wire.Failure) {
	t.Expire(now)
	switch {
	case t.stopped:
		return nil, t.refuse(wire.ReasonStopping, "the node is stopping")
	case count < 1 || count > t.config.MaxBatch:
		return nil, t.refuse(wire.ReasonBadRequest, "Count must be from 1 to %d", t.config.MaxBatch)
	case len(t.entries)+count > t.config.MaxKeys:
		return nil, t.refuse(wire.ReasonOverload, "the table of order keys is full")
	case t.callers[caller]+count > t.config.MaxCallerKeys:
		return nil, t.refuse(wire.ReasonOverload, "the caller holds too many order keys")
	case t.results >= t.config.MaxResults:
		return nil, t.refuse(wire.ReasonOverload, "the results of orders take up their memory")
	}
	keys := make([]wire.OrderKey, 0, count)
	for range count {
		k := Key{
			Issuer: t.config.Issuer, Incarnation: t.config.Incarnation, Service: service,
			Caller: caller, Serial: t.next, Expires: t.now.Add(t.config.Lifetime).UTC(),
		}
		text, err := t.config.Signer.Sign(k)
		if err != nil {
			return nil, t.refuse(wire.ReasonBadRequest, "%v", err)
		}
		t.next++
		t.callers[caller]++
		t.entries[k.Serial] = &entry{key: k, state: Issued}
		t.queue = append(t.queue, k.Serial)
		keys = append(keys, wire.OrderKey{Key: text, Expires: k.Expires})
	}
	return keys, nil
}

// Start asks to run an order. At most one call for each key returns Run. Any other call returns
// the state of the key, or a failure when the request does not fit the key.
func (t *Table) Start(now time.Time, r Request) Outcome {
	e, f := t.find(now, r)
	if f != nil {
		return Outcome{Failure: f}
	}
	digest := r.digest()
	if e.state == Closed {
		return e.outcome()
	}
	if e.state != Issued {
		if e.digest != digest {
			return Outcome{Failure: t.uncertain(wire.ReasonKeyForeign, true,
				"the key was sent with another kind or body")}
		}
		return e.outcome()
	}
	if t.results >= t.config.MaxResults {
		e.close(t.refuse(wire.ReasonOverload, "the results of orders take up their memory"))
		return e.outcome()
	}
	e.start(digest)
	t.running++
	o := e.outcome()
	o.Run = true
	return o
}

// LookUp returns what is known of a key and starts nothing. Kind and Body of the request are not
// used.
func (t *Table) LookUp(now time.Time, r Request) Outcome {
	e, f := t.find(now, r)
	if f != nil {
		return Outcome{Failure: f}
	}
	return e.outcome()
}

// find returns the entry of a key that this incarnation issued to the caller.
func (t *Table) find(now time.Time, r Request) (*entry, *wire.Failure) {
	t.Expire(now)
	k, err := t.config.Signer.Parse(r.Key)
	switch {
	case errors.Is(err, ErrForged):
		// The fleet key that signed it may have been rotated out since, so the key may be real.
		return nil, t.uncertain(wire.ReasonKeyForeign, false, "%v", err)
	case err != nil:
		return nil, t.refuse(wire.ReasonBadRequest, "%v", err)
	case k.Caller != r.Caller:
		return nil, t.refuse(wire.ReasonKeyForeign, "the key was issued to another caller")
	case k.Service != r.Service:
		return nil, t.refuse(wire.ReasonKeyForeign, "the key was issued for another service")
	case k.Issuer != t.config.Issuer || k.Incarnation != t.config.Incarnation:
		// The incarnation that issued it may have run it.
		return nil, t.uncertain(wire.ReasonKeyForeign, false, "the issuer of the key is gone")
	}
	e := t.entries[k.Serial]
	if e == nil {
		return nil, t.uncertain(wire.ReasonKeyExpired, true, "the outcome is no longer kept")
	}
	if e.state == Issued && e.expired(t.now) {
		e.close(t.refuse(wire.ReasonKeyExpired, "the key expired before it was sent"))
	}
	return e, nil
}

// Retry states that the attempt has certainly not run, and returns the next attempt. When there may
// be none, because the key has expired or is Unknown, it closes the key with the failure and
// returns false. The failure must have NotRun set.
func (t *Table) Retry(now time.Time, a Attempt, f *wire.Failure) (Attempt, bool) {
	t.observe(now)
	e := t.current(a)
	if e == nil || e.state != Running || e.expired(t.now) || !f.NotRun {
		t.Close(now, a, f)
		return Attempt{}, false
	}
	e.attempt++
	return Attempt{Serial: a.Serial, Number: e.attempt}, true
}

// Finish records the result of an attempt, also a late one. It returns false when the attempt is
// not the newest, or the key is closed or forgotten.
func (t *Table) Finish(now time.Time, a Attempt, result json.RawMessage) bool {
	t.observe(now)
	e := t.current(a)
	if e == nil || e.state != Running && e.state != Unknown {
		return false
	}
	t.settle(e, Done)
	e.result = result
	t.results += len(result)
	return true
}

// Close states that the attempt has certainly not run and that the key never will. It also
// settles an Unknown key whose late answer says so. It returns false when the attempt is not the
// newest or the key is settled. A failure that does not say "not run" makes the key Unknown.
func (t *Table) Close(now time.Time, a Attempt, f *wire.Failure) bool {
	t.observe(now)
	if f == nil || !f.NotRun {
		t.Lose(now, a)
		return false
	}
	e := t.current(a)
	if e == nil || e.state != Running && e.state != Unknown {
		return false
	}
	t.settle(e, Closed)
	e.failure = f
	return true
}

// Lose states that the attempt may have run. It returns false when the attempt is not the newest
// or the key is not Running.
func (t *Table) Lose(now time.Time, a Attempt) bool {
	t.observe(now)
	e := t.current(a)
	if e == nil || e.state != Running {
		return false
	}
	t.settle(e, Unknown)
	return true
}

func (t *Table) current(a Attempt) *entry {
	e := t.entries[a.Serial]
	if e == nil || e.attempt != a.Number {
		return nil
	}
	return e
}

func (t *Table) settle(e *entry, s State) {
	if e.state == Running {
		t.running--
	}
	e.settle(s)
}

// Expire forgets keys whose outcome need not be kept any longer. An order that is still Running
// then becomes Unknown.
func (t *Table) Expire(now time.Time) {
	t.observe(now)
	for len(t.queue) > 0 {
		e := t.entries[t.queue[0]]
		if t.now.Before(e.key.Expires.Add(t.config.Keep)) {
			return
		}
		if e.state == Running {
			t.settle(e, Unknown)
		}
		t.results -= len(e.result)
		if t.callers[e.key.Caller]--; t.callers[e.key.Caller] == 0 {
			delete(t.callers, e.key.Caller)
		}
		delete(t.entries, t.queue[0])
		t.queue = t.queue[1:]
	}
}

func (t *Table) observe(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// Stop ends the issue of keys. Keys that were issued can still be started and looked up.
func (t *Table) Stop() {
	t.stopped = true
}

// Running returns the number of orders in flight.
func (t *Table) Running() int {
	return t.running
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

func (t *Table) refuse(reason wire.Reason, format string, args ...any) *wire.Failure {
	return wire.Refuse(wire.StepOrderKey, t.config.Issuer.String(), reason, format, args...)
}

func (t *Table) uncertain(reason wire.Reason, forwarded bool, format string, args ...any) *wire.Failure {
	f := wire.Uncertain(wire.StepOrderKey, t.config.Issuer.String(), reason, format, args...)
	f.Forwarded = forwarded
	return f
}
