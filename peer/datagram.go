package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/cockroachdb/errors"
)

// A datagram consists of one byte with the protocol version, an HMAC-SHA-256 tag and a message. The tag covers
// the version, the addresses of sender and receiver, and the message, so that any other node refuses a captured
// datagram. The version identifies the codec of the message. A node accepts all versions, so that nodes with
// different codecs can communicate.
const (
	protocolJSON        = 1
	protocolCBOR        = 2
	datagramHeaderBytes = 1 + sha256.Size
	maxDatagramBytes    = datagramHeaderBytes + fleet.MaxMessageBytes
)

// Reasons for refusing a datagram.
var (
	errDatagramSize    = errors.New("peer: datagram size out of range")
	errUnknownProtocol = errors.New("peer: datagram has an unknown protocol version")
	errUnknownKey      = errors.New("peer: datagram tag does not match any fleet key")
	errUndecodable     = errors.New("peer: datagram message cannot be decoded")
)

// sealDatagram encodes a message and authenticates it for one sender and receiver.
func sealDatagram(codec fleet.Codec, key []byte, from, to netip.AddrPort, m *fleet.Message) ([]byte, error) {
	body, err := codec.Encode(m)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: seal a datagram for %s", to)
	}
	b := make([]byte, datagramHeaderBytes, datagramHeaderBytes+len(body))
	b[0] = protocolCBOR
	if codec == fleet.JSON {
		b[0] = protocolJSON
	}
	copy(b[1:], datagramTag(b[0], key, from, to, body))
	return append(b, body...), nil
}

// openDatagram verifies the size, version and tag of a datagram and decodes its message.
func openDatagram(keys [][]byte, from, to netip.AddrPort, b []byte) (fleet.Message, error) {
	if len(b) <= datagramHeaderBytes || len(b) > maxDatagramBytes {
		return fleet.Message{}, errDatagramSize
	}
	codec := fleet.CBOR
	switch b[0] {
	case protocolCBOR:
	case protocolJSON:
		codec = fleet.JSON
	default:
		return fleet.Message{}, errUnknownProtocol
	}
	tag, body := b[1:datagramHeaderBytes], b[datagramHeaderBytes:]
	authentic := false
	for _, k := range keys {
		authentic = authentic || hmac.Equal(tag, datagramTag(b[0], k, from, to, body))
	}
	if !authentic {
		return fleet.Message{}, errUnknownKey
	}
	m, err := codec.Decode(body)
	if err != nil {
		return fleet.Message{}, errors.CombineErrors(errUndecodable, err)
	}
	return m, nil
}

func datagramTag(protocol byte, key []byte, from, to netip.AddrPort, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	header := make([]byte, 0, 128)
	header = append(header, protocol)
	header = append(from.AppendTo(header), '>')
	header = append(to.AppendTo(header), '\n')
	h.Write(header)
	h.Write(body)
	return h.Sum(nil)
}
