package fleet

import (
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var anyAddress = rapid.Custom(func(t *rapid.T) netip.AddrPort {
	size := rapid.SampledFrom([]int{4, 16}).Draw(t, "size")
	ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, "ip"))
	return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
})

// optional draws the zero value half of the time, so that omitted fields are covered.
func optional[T any](g *rapid.Generator[T]) *rapid.Generator[T] {
	return rapid.OneOf(rapid.Just(*new(T)), g)
}

var anyLease = rapid.Custom(func(t *rapid.T) LeaseItem {
	return LeaseItem{
		Service: rapid.String().Draw(t, "service"), Slice: optional(rapid.Int()).Draw(t, "slice"),
		Round: optional(rapid.Uint64()).Draw(t, "round"), Held: rapid.Bool().Draw(t, "held"),
		Weak: rapid.Bool().Draw(t, "weak"), Provisional: rapid.Bool().Draw(t, "provisional"),
		Holder: optional(anyAddress).Draw(t, "holder"), Left: optional(rapid.Int64()).Draw(t, "left"),
	}
})

var anyUpdate = rapid.Custom(func(t *rapid.T) Update {
	return Update{
		Member: Member{
			Address: anyAddress.Draw(t, "address"), Caller: optional(anyAddress).Draw(t, "caller"),
			FailureDomain: optional(rapid.String()).Draw(t, "domain"), Region: optional(rapid.String()).Draw(t, "region"),
			Weight: optional(rapid.Int()).Draw(t, "weight"), Incarnation: rapid.Int64().Draw(t, "incarnation"),
			Sequence: optional(rapid.Uint64()).Draw(t, "sequence"), State: rapid.SampledFrom(states).Draw(t, "state"),
			Status: Status{Blind: rapid.Bool().Draw(t, "blind"), Busy: rapid.Bool().Draw(t, "busy")},
		},
		Observer: optional(anyAddress).Draw(t, "observer"),
	}
})

var anyNote = rapid.Custom(func(t *rapid.T) Note {
	k := Note{
		ID: rapid.String().Draw(t, "id"), Kind: rapid.String().Draw(t, "kind"),
		Expires: time.Unix(0, rapid.Int64().Draw(t, "expires")).UTC(),
	}
	if rapid.Bool().Draw(t, "has body") {
		k.Body, _ = json.Marshal(rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "body"))
	}
	return k
})

var anyMessage = rapid.Custom(func(t *rapid.T) Message {
	m := Message{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Incarnation: rapid.Int64().Draw(t, "incarnation"),
		Serial: optional(rapid.Uint64()).Draw(t, "serial"), Version: optional(rapid.Uint64()).Draw(t, "version"),
		Hash:   optional(rapid.StringMatching("[0-9a-f]{8}")).Draw(t, "hash"),
		Digest: optional(rapid.Uint32()).Draw(t, "digest"),
		Round:  optional(rapid.Uint64()).Draw(t, "round"),
	}
	// Empty lists are encoded like nil lists, so they would not round-trip.
	if l := rapid.SliceOfN(anyLease, 0, 3).Draw(t, "leases"); len(l) > 0 {
		m.Leases = l
	}
	if u := rapid.SliceOfN(anyUpdate, 0, 3).Draw(t, "updates"); len(u) > 0 {
		m.Updates = u
	}
	if k := rapid.SliceOfN(anyNote, 0, 2).Draw(t, "notes"); len(k) > 0 {
		m.Notes = k
	}
	return m
})

// Guards against messages that change in a round trip through either codec, and against CBOR encodings
// longer than the JSON encoding.
func TestPropertyCodecs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		m := anyMessage.Draw(t, "message")
		if CBOR.size(m) > JSON.size(m) {
			t.Fatalf("CBOR takes %d bytes, JSON %d", CBOR.size(m), JSON.size(m))
		}
		for _, c := range []Codec{CBOR, JSON} {
			b, err := c.Encode(&m)
			if c.size(m)-1 > MaxMessageBytes {
				is.True(err != nil) // above MaxMessageBytes
				continue
			}
			is.NoErr(err)
			got, err := c.Decode(b)
			is.NoErr(err)
			is.Equal(got, m)
		}
	})
}

// Guards against messages above MaxMessageBytes: batches are filled by the maximum sizes of items and
// envelopes, so these must be upper bounds for all values.
func TestSizeBounds(t *testing.T) {
	is := is.New(t)
	address := netip.AddrPortFrom(netip.MustParseAddr("fd00:ffff:ffff:ffff:ffff:ffff:ffff:ffff"), math.MaxUint16)
	item := LeaseItem{
		Service: "ledger", Slice: math.MaxInt, Round: math.MaxUint64, Held: true, Weak: true,
		Provisional: true, Holder: address, Left: math.MaxInt64,
	}
	m := Message{
		Kind: KindHeartbeat, Incarnation: math.MaxInt64, Serial: math.MaxUint64, Version: math.MaxUint64,
		Hash: "01234567", Digest: math.MaxUint32, Round: math.MaxUint64,
	}
	for _, c := range []Codec{CBOR, JSON} {
		is.True(c.size(item) <= c.maxLeaseItemSize(item.Service))
		update, note := Update{Member: Member{State: StateDown}}, Note{Expires: simEpoch}
		full := m
		full.Leases, full.Updates, full.Notes = []LeaseItem{item}, []Update{update}, []Note{note}
		is.True(c.size(full) <= c.maxEnvelopeSize()+c.size(item)+c.size(update)+c.size(note))
	}
}

// Guards against accepting input that exceeds a limit or contains an unknown kind or state, and against
// rejecting unknown keys.
func TestDecodeLimits(t *testing.T) {
	// Starts a map with kind and incarnation and the given number of further fields.
	head := func(fields byte) string { return string([]byte{0xa0 + 2 + fields, 1, 1, 2, 5}) }
	cases := []struct {
		name, input string
		ok          bool
	}{
		{"heartbeat", head(0), true},
		{"unknown key", head(1) + "\x18\x63\x01", true},
		{"empty", "", false},
		{"null", "\xf6", false},
		{"truncated", head(1), false},
		{"trailing data", head(0) + "\x00", false},
		{"duplicate key", head(1) + "\x01\x02", false},
		{"unknown kind", "\xa2\x01\x08\x02\x05", false},
		{"no kind", "\xa1\x02\x05", false},
		{"kind as text", "\xa2\x01\x69Heartbeat\x02\x05", false},
		{"unknown state", head(1) + "\x09\x81\xa1\x08\x05", false},
		{"no state", head(1) + "\x09\x81\xa0", false},
		{"address of a wrong length", head(1) + "\x09\x81\xa2\x01\x43abc\x08\x01", false},
		{"serial below zero", head(1) + "\x03\x20", false},
		{"hash that is not UTF-8", head(1) + "\x05\x61\xff", false},
		{"tag", head(1) + "\x03\xc1\x01", false},
		{"indefinite length", "\xbf\x01\x01\x02\x05\xff", false},
		{"nesting", head(1) + "\x18\x63" + strings.Repeat("\x81", maxNesting) + "\x01", false},
		{"long list", head(1) + "\x08\x98\x81" + strings.Repeat("\xa0", maxItems+1), false},
		{"list longer than the input", head(1) + "\x08\x9a\xff\xff\xff\xff", false},
		{"body that is not JSON", head(1) + "\x0a\x81\xa4\x01\x61n\x02\x61k\x03\x41{\x04\x01", false},
		{"too large", head(1) + "\x05\x79\x04\xb0" + strings.Repeat("x", MaxMessageBytes), false},
	}
	for _, c := range cases {
		_, err := CBOR.Decode([]byte(c.input))
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against publishing notes that a codec cannot encode: receivers would drop every message that
// carries such a note.
func TestPublishRefusesUnencodableNotes(t *testing.T) {
	is := is.New(t)
	n := newNode(
		Config{Member: Member{Address: simAddress(1), FailureDomain: "d"}, Start: simEpoch}, simEpoch, defaultRules(),
	)
	later := simEpoch.Add(time.Hour)
	for i, k := range []Note{
		{ID: "\xff", Expires: later},
		{ID: "n", Kind: "\xff", Expires: later},
		{ID: "n", Expires: simEpoch.AddDate(1000, 0, 0)},
		{ID: "n", Expires: later, Body: json.RawMessage("{")},
		{ID: strings.Repeat("<", MaxNoteBytes/2), Expires: later},
	} {
		if _, err := n.Publish(simEpoch, k); err == nil {
			t.Errorf("note %d was published, want an error", i)
		}
	}
	_, err := n.Publish(simEpoch, Note{ID: "n", Expires: later})
	is.NoErr(err)
}

// Guards against decoder crashes, and against accepted input that does not re-encode to the same message.
func FuzzDecodeCBOR(f *testing.F) {
	for i := range 20 {
		m := anyMessage.Example(i)
		if b, err := CBOR.Encode(&m); err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := CBOR.Decode(b)
		if err != nil {
			return
		}
		is := is.New(t)
		first, err := CBOR.marshal(m)
		is.NoErr(err)
		if len(first) > MaxMessageBytes {
			return
		}
		again, err := CBOR.Decode(first)
		is.NoErr(err)
		second, err := CBOR.marshal(again)
		is.NoErr(err)
		is.Equal(first, second)
	})
}

// Guards against reporting a conflict for lease messages, which omit the hash, and against heartbeats
// that no longer report one, so that two documents with the same version would go undetected.
func TestConflictWithoutHashInLeases(t *testing.T) {
	is := is.New(t)
	s := newSim(1, defaultRules())
	s.run(simWarmUp)
	p, conflicting := s.procs[0], s.procs[1]
	conflicting.node.hash = "other"
	reported := func(k Kind) bool {
		out := p.node.Handle(p.local(s.now), conflicting.address, *conflicting.node.newMessage(k))
		return slices.ContainsFunc(out, func(o Output) bool { return o.Event != nil && o.Event.Kind == ConfigConflict })
	}
	for _, k := range []Kind{KindClaim, KindPromise, KindDeny, KindRelease} {
		is.Equal(conflicting.node.newMessage(k).Hash, "")
		is.True(!reported(k))
	}
	is.True(reported(KindHeartbeat))
}
