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
	// defaultRetention lets a caller whose connection was lost look up the outcome after the key has expired.
	defaultRetention = 60 * time.Second
	defaultMaxKeys   = 100_000
	defaultMaxBatch  = 100
	// callerShareDivisor limits one caller to a quarter of the table, so that it cannot prevent other
	// callers from placing orders.
	callerShareDivisor = 4
	// defaultMaxResults is in bytes (64 MiB).
	defaultMaxResults = 64 << 20
)

// Config holds the identity of the issuer and the limits of its table. A limit of zero takes its
// default.
type Config struct {
	Issuer      netip.AddrPort
	Incarnation uint64
	Signer      *Signer
	// Lifetime is the time after its issue within which an order may be started with a key.
	Lifetime time.Duration
	// Retention is the time after the expiry of a key for which its outcome is retained.
	Retention time.Duration
	// MaxKeys bounds the keys in the table, and MaxBatch the keys issued at once.
	MaxKeys  int
	MaxBatch int
	// MaxCallerKeys bounds the keys of one caller. The default is a quarter of MaxKeys.
	MaxCallerKeys int
	// MaxResults is the size of the retained results, in bytes, from which on no key is issued and no
	// order started. The results of orders in flight may exceed it.
	MaxResults int
}

// Table holds the keys issued by one incarnation of a node. It is not safe for concurrent use.
type Table struct {
	config  Config
	entries map[uint64]*entry
	// callerKeys is the number of keys of each caller.
	callerKeys map[string]int
	// expiryQueue lists the serials of the keys by expiry, earliest first.
	expiryQueue []uint64
	nextSerial  uint64
	running     int
	resultBytes int
	stopped     bool
	// now is the latest time that was passed to the table. A clock that steps back must not make an
	// expired key valid again.
	now time.Time
}

// NewTable returns an empty table. It returns an error without a signer, an address or an incarnation.
func NewTable(c Config) (*Table, error) {
	if c.Signer == nil || !c.Issuer.IsValid() || c.Incarnation == 0 {
		return nil, errors.New("order: a table needs a signer, an address and an incarnation")
	}
	c.Lifetime = option.Positive(c.Lifetime, defaultLifetime)
	c.Retention = option.Positive(c.Retention, defaultRetention)
	c.MaxKeys = option.Positive(c.MaxKeys, defaultMaxKeys)
	c.MaxBatch = option.Positive(c.MaxBatch, defaultMaxBatch)
	c.MaxCallerKeys = option.Positive(c.MaxCallerKeys, max(1, c.MaxKeys/callerShareDivisor))
	c.MaxResults = option.Positive(c.MaxResults, defaultMaxResults)
	return &Table{
		config: c, entries: make(map[uint64]*entry), callerKeys: make(map[string]int), nextSerial: 1,
	}, nil
}

// Issue returns count new keys. It refuses when the table is stopped, when count is not between 1 and MaxBatch,
// when MaxKeys, MaxCallerKeys or MaxResults is reached, or when a key cannot be signed.
func (t *Table) Issue(now time.Time, service, caller string, count int) ([]wire.OrderKey, *wire.Failure) {
	t.Expire(now)
	switch {
	case t.stopped:
		return nil, t.refuse(wire.ReasonStopping, "the node is stopping")
	case count < 1 || count > t.config.MaxBatch:
		return nil, t.refuse(wire.ReasonBadRequest, "Count must be from 1 to %d", t.config.MaxBatch)
	case len(t.entries)+count > t.config.MaxKeys:
		return nil, t.refuse(wire.ReasonOverload, "the table of order keys is full")
	case t.callerKeys[caller]+count > t.config.MaxCallerKeys:
		return nil, t.refuse(wire.ReasonOverload, "the caller holds too many order keys")
	case t.resultBytes >= t.config.MaxResults:
		return nil, t.refuse(wire.ReasonOverload, "the memory for order results is full")
	}
	keys := make([]wire.OrderKey, 0, count)
	for range count {
		k := Key{
			Issuer: t.config.Issuer, Incarnation: t.config.Incarnation, Service: service,
			Caller: caller, Serial: t.nextSerial, Expires: t.now.Add(t.config.Lifetime).UTC(),
		}
		text, err := t.config.Signer.Sign(k)
		if err != nil {
			return nil, t.refuse(wire.ReasonBadRequest, "%v", err)
		}
		t.nextSerial++
		t.callerKeys[caller]++
		t.entries[k.Serial] = &entry{key: k, state: Issued}
		t.expiryQueue = append(t.expiryQueue, k.Serial)
		keys = append(keys, wire.OrderKey{Key: text, Expires: k.Expires})
	}
	return keys, nil
}

// Start starts an order. At most one call for each key returns an Outcome with Dispatch set. Any other call
// returns the state of the key, or a failure when the request does not match the key.
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
				"the key was already used with another kind or body")}
		}
		return e.outcome()
	}
	if t.resultBytes >= t.config.MaxResults {
		e.close(t.refuse(wire.ReasonOverload, "the memory for order results is full"))
		return e.outcome()
	}
	e.start(digest)
	t.running++
	o := e.outcome()
	o.Dispatch = true
	return o
}

// LookUp returns the state of a key without starting an order. It ignores Kind and Body of the request.
func (t *Table) LookUp(now time.Time, r Request) Outcome {
	e, f := t.find(now, r)
	if f != nil {
		return Outcome{Failure: f}
	}
	return e.outcome()
}

// find returns the entry of a key that this incarnation has issued to the caller for the service, and closes
// the key if it has expired unused.
func (t *Table) find(now time.Time, r Request) (*entry, *wire.Failure) {
	t.Expire(now)
	k, err := t.config.Signer.Parse(r.Key)
	switch {
	case errors.Is(err, ErrInvalidSignature):
		// The key may be genuine: the fleet key that signed it may have been rotated out since.
		return nil, t.uncertain(wire.ReasonKeyForeign, false, "%v", err)
	case err != nil:
		return nil, t.refuse(wire.ReasonBadRequest, "%v", err)
	case k.Caller != r.Caller:
		return nil, t.refuse(wire.ReasonKeyForeign, "the key was issued to another caller")
	case k.Service != r.Service:
		return nil, t.refuse(wire.ReasonKeyForeign, "the key was issued for another service")
	case k.Issuer != t.config.Issuer || k.Incarnation != t.config.Incarnation:
		// The incarnation that issued the key may have run the order.
		return nil, t.uncertain(wire.ReasonKeyForeign, false, "the key was issued by another node or incarnation")
	}
	e := t.entries[k.Serial]
	if e == nil {
		return nil, t.uncertain(wire.ReasonKeyExpired, true, "the outcome is no longer retained")
	}
	if e.state == Issued && e.expired(t.now) {
		e.close(t.refuse(wire.ReasonKeyExpired, "the key expired before an order was sent with it"))
	}
	return e, nil
}

// Retry records that the attempt has certainly not run, and returns the next attempt. If no further attempt is
// allowed, because the key has expired or is Unknown, it closes the key with the failure and returns
// false. The failure must have NotRun set.
func (t *Table) Retry(now time.Time, a Attempt, f *wire.Failure) (Attempt, bool) {
	t.advanceClock(now)
	e := t.currentEntry(a)
	if e == nil || e.state != Running || e.expired(t.now) || !f.NotRun {
		t.Close(now, a, f)
		return Attempt{}, false
	}
	e.attempt++
	return Attempt{Serial: a.Serial, Number: e.attempt}, true
}

// Finish records the result of an attempt, even if it is late. It returns false when the attempt is not the
// latest, or when the key is Done, Closed or no longer in the table.
func (t *Table) Finish(now time.Time, a Attempt, result json.RawMessage) bool {
	t.advanceClock(now)
	e := t.currentEntry(a)
	if e == nil || e.state != Running && e.state != Unknown {
		return false
	}
	t.settle(e, Done)
	e.result = result
	t.resultBytes += len(result)
	return true
}

// Close records that the attempt has certainly not run, and that the order never will. It also closes an
// Unknown key whose late answer says "not run". It returns false when the attempt is not the latest or
// the outcome is already decided. A failure without NotRun makes the key Unknown, and Close returns false.
func (t *Table) Close(now time.Time, a Attempt, f *wire.Failure) bool {
	t.advanceClock(now)
	if f == nil || !f.NotRun {
		t.MarkUnknown(now, a)
		return false
	}
	e := t.currentEntry(a)
	if e == nil || e.state != Running && e.state != Unknown {
		return false
	}
	t.settle(e, Closed)
	e.failure = f
	return true
}

// MarkUnknown records that the attempt may have run, and makes the key Unknown. It returns false when the attempt is
// not the latest or the key is not Running.
func (t *Table) MarkUnknown(now time.Time, a Attempt) bool {
	t.advanceClock(now)
	e := t.currentEntry(a)
	if e == nil || e.state != Running {
		return false
	}
	t.settle(e, Unknown)
	return true
}

// currentEntry returns the entry of the attempt's key, or nil if the attempt is not the latest.
func (t *Table) currentEntry(a Attempt) *entry {
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

// Expire deletes the keys whose retention has ended. A key that is still Running becomes Unknown first, so
// that requests waiting for it are released.
func (t *Table) Expire(now time.Time) {
	t.advanceClock(now)
	for len(t.expiryQueue) > 0 {
		e := t.entries[t.expiryQueue[0]]
		if t.now.Before(e.key.Expires.Add(t.config.Retention)) {
			return
		}
		if e.state == Running {
			t.settle(e, Unknown)
		}
		t.resultBytes -= len(e.result)
		if t.callerKeys[e.key.Caller]--; t.callerKeys[e.key.Caller] == 0 {
			delete(t.callerKeys, e.key.Caller)
		}
		delete(t.entries, t.expiryQueue[0])
		t.expiryQueue = t.expiryQueue[1:]
	}
}

// advanceClock sets the time of the table; it never goes back.
func (t *Table) advanceClock(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// Stop makes Issue refuse. Keys that were issued before can still be started and looked up.
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
	f := wire.UnknownOutcome(wire.StepOrderKey, t.config.Issuer.String(), reason, format, args...)
	f.Forwarded = forwarded
	return f
}
