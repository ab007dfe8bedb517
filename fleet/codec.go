package fleet

import (
	"encoding/json"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Codec is the encoding of control messages. The zero value is CBOR.
type Codec uint8

// Codecs of control messages. JSON is for fleets that contain nodes without support for CBOR.
const (
	CBOR Codec = iota
	JSON
)

// Limits of CBOR messages.
const (
	// maxNesting is the depth of a field of an update in a message: map, array, map, value. It is the
	// lowest limit that the library accepts.
	maxNesting = 4
	// maxItems limits the length of each list. A message of MaxMessageBytes has at most 55 updates, which take at
	// least 21 bytes each. The lowest limit that the library accepts is 16.
	maxItems = 128
	// maxFields limits the number of fields of each map. It is the lowest limit that the library accepts.
	maxFields = 16
)

var (
	cborEncoder = newEncoder()
	cborDecoder = newDecoder()
)

// newEncoder returns the CBOR encoder. It panics on invalid options, which cannot occur because the
// options are constant and valid.
func newEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// newDecoder returns the CBOR decoder. Like JSON decoding, it ignores unknown keys, so that a release can
// add fields during a rolling upgrade. Field names are matched case-sensitively. It rejects duplicate keys,
// tags, text that is not UTF-8 and items of indefinite length. It panics on invalid options, which cannot
// occur because the options are constant and valid.
func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: maxNesting, MaxArrayElements: maxItems, MaxMapPairs: maxFields,
		UTF8: cbor.UTF8RejectInvalid, FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func (c Codec) marshal(v any) ([]byte, error) {
	if c == JSON {
		return json.Marshal(v)
	}
	return cborEncoder.Marshal(v)
}

// Encode returns the encoded message. It returns an error if the message cannot be encoded, and
// ErrTooLarge if it takes more than MaxMessageBytes.
func (c Codec) Encode(m *Message) ([]byte, error) {
	b, err := c.marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "fleet: encode %s", m.Kind)
	}
	if len(b) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%s message of %d bytes", m.Kind, len(b))
	}
	return b, nil
}

// Decode decodes the message in b. It returns an error for malformed input and for unknown kinds and
// states, and ErrTooLarge if b has more than MaxMessageBytes.
func (c Codec) Decode(b []byte) (Message, error) {
	if len(b) > MaxMessageBytes {
		return Message{}, errors.Wrapf(ErrTooLarge, "message of %d bytes", len(b))
	}
	var m Message
	unmarshal := cborDecoder.Unmarshal
	if c == JSON {
		unmarshal = json.Unmarshal
	}
	if err := unmarshal(b, &m); err != nil {
		return Message{}, errors.Wrap(err, "fleet: decode message")
	}
	if !slices.Contains(kinds, m.Kind) {
		return Message{}, errors.Newf("fleet: decode message: unknown kind %q", m.Kind)
	}
	for _, u := range m.Updates {
		if !slices.Contains(states, u.State) {
			return Message{}, errors.Newf("fleet: decode message: unknown state %q of %s", u.State, u.Address)
		}
	}
	return m, nil
}

// ErrTooLarge is returned for a message of more than MaxMessageBytes.
var ErrTooLarge = errors.New("fleet: message is too large")

// size returns the encoded length of v plus 1 byte for the comma that JSON needs between list items. A
// value that cannot be encoded counts as MaxMessageBytes.
func (c Codec) size(v any) int {
	b, err := c.marshal(v)
	if err != nil {
		return MaxMessageBytes
	}
	return len(b) + 1
}

// maxEnvelopeSize returns the maximum encoded size in bytes of a message without its list items.
func (c Codec) maxEnvelopeSize() int {
	if c == JSON {
		return 300
	}
	// These add up to 84, below the returned bound: kind 2; serial, version, incarnation, round and
	// revision 10 each; hash 10; digest and age 6 each; the map and the heads and keys of three lists 10.
	return 96
}

// maxLeaseItemSize returns the maximum encoded size in bytes of a lease item of the service. Both
// constants are upper bounds for a holder without an IPv6 zone. A zone adds at least its length, so that an
// item may exceed the bound.
func (c Codec) maxLeaseItemSize(service string) int {
	if c == JSON {
		return 215 + c.size(service)
	}
	// These add up to 58, below the returned bound: slice, round and left 10 each; three flags 6; holder 20;
	// the map and the key of the service name 2.
	return 60 + c.size(service)
}

// In CBOR, kinds and states are encoded as their 1-based position in these lists. 0 means unknown.
var (
	kinds = []Kind{
		KindHeartbeat, KindAck, KindUpdate, KindClaim, KindPromise, KindDeny, KindRelease,
	}
	states = []State{StateAlive, StateLeaving, StateDown, StateSuspect}
)

// MarshalCBOR encodes the kind as a small integer.
func (k Kind) MarshalCBOR() ([]byte, error) { return marshalName(kinds, k), nil }

// UnmarshalCBOR decodes the kind from a small integer. It returns an error for an unknown kind.
func (k *Kind) UnmarshalCBOR(b []byte) (err error) {
	*k, err = unmarshalName(kinds, b)
	return err
}

// MarshalCBOR encodes the state as a small integer.
func (s State) MarshalCBOR() ([]byte, error) { return marshalName(states, s), nil }

// UnmarshalCBOR decodes the state from a small integer. It returns an error for an unknown state.
func (s *State) UnmarshalCBOR(b []byte) (err error) {
	*s, err = unmarshalName(states, b)
	return err
}

// marshalName returns the position of the name as a CBOR integer below 24, which takes one byte.
func marshalName[T ~string](names []T, name T) []byte {
	return []byte{byte(slices.Index(names, name) + 1)}
}

func unmarshalName[T ~string](names []T, b []byte) (T, error) {
	if len(b) != 1 || b[0] == 0 || int(b[0]) > len(names) {
		return "", errors.Newf("fleet: unknown name %x", b)
	}
	return names[b[0]-1], nil
}

// noteCBOR is the CBOR representation of a Note.
type noteCBOR struct {
	ID      string          `cbor:"1,keyasint"`
	Kind    string          `cbor:"2,keyasint"`
	Body    json.RawMessage `cbor:"3,keyasint,omitempty"`
	Expires int64           `cbor:"4,keyasint"`
}

// MarshalCBOR encodes the note with its expiry in Unix nanoseconds. It returns an error for an expiry
// outside their range and for text that is not UTF-8, which receivers would reject.
func (k Note) MarshalCBOR() ([]byte, error) {
	expires := k.Expires.UnixNano()
	if !time.Unix(0, expires).Equal(k.Expires) {
		return nil, errors.Newf("fleet: note %q: expiry %s is out of range", k.ID, k.Expires)
	}
	if !utf8.ValidString(k.ID) || !utf8.ValidString(k.Kind) {
		return nil, errors.Newf("fleet: note %q is not UTF-8", k.ID)
	}
	return cborEncoder.Marshal(noteCBOR{k.ID, k.Kind, k.Body, expires})
}

// UnmarshalCBOR decodes a note. It returns an error if the body is not valid JSON, because tables carry
// the body as JSON.
func (k *Note) UnmarshalCBOR(b []byte) error {
	var f noteCBOR
	if err := cborDecoder.Unmarshal(b, &f); err != nil {
		return err
	}
	if len(f.Body) > 0 && !json.Valid(f.Body) {
		return errors.Newf("fleet: body of note %q is not JSON", f.ID)
	}
	*k = Note{ID: f.ID, Kind: f.Kind, Body: f.Body, Expires: time.Unix(0, f.Expires).UTC()}
	return nil
}
