package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/cockroachdb/errors"
)

// A datagram is one byte of protocol version, an HMAC-SHA-256 tag and a message. The tag
// covers the version, the addresses of sender and receiver, and the message, so that a captured
// datagram is refused by any other node. The version tells the codec of the message. A node accepts
// all versions, so that nodes which send different ones understand each other.
const (
	protocolJSON = 1
	protocolCBOR = 2
	headerSize   = 1 + sha256.Size
	maxDatagram  = headerSize + fleet.MaxMessage
)

// Reasons for which a datagram is refused.
var (
	errSize     = errors.New("peer: datagram has a wrong size")
	errProtocol = errors.New("peer: datagram of an unknown protocol version")
	errKey      = errors.New("peer: datagram with an unknown key")
	errDecode   = errors.New("peer: datagram with a message that cannot be decoded")
)

// sealDatagram encodes a message for one receiver.
func sealDatagram(codec fleet.Codec, key []byte, from, to netip.AddrPort, m *fleet.Message) ([]byte, error) {
	body, err := codec.Encode(m)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: seal a datagram for %s", to)
	}
	b := make([]byte, headerSize, headerSize+len(body))
	b[0] = protocolCBOR
	if codec == fleet.JSON {
		b[0] = protocolJSON
	}
	copy(b[1:], datagramTag(b[0], key, from, to, body))
	return append(b, body...), nil
}

// openDatagram checks and decodes a datagram.
func openDatagram(keys [][]byte, from, to netip.AddrPort, b []byte) (fleet.Message, error) {
	if len(b) <= headerSize || len(b) > maxDatagram {
		return fleet.Message{}, errSize
	}
	codec := fleet.CBOR
	switch b[0] {
	case protocolCBOR:
	case protocolJSON:
		codec = fleet.JSON
	default:
		return fleet.Message{}, errProtocol
	}
	tag, body := b[1:headerSize], b[headerSize:]
	known := false
	for _, k := range keys {
		known = known || hmac.Equal(tag, datagramTag(b[0], k, from, to, body))
	}
	if !known {
		return fleet.Message{}, errKey
	}
	m, err := codec.Decode(body)
	if err != nil {
		return fleet.Message{}, errors.CombineErrors(errDecode, err)
	}
	return m, nil
}

func datagramTag(protocol byte, key []byte, from, to netip.AddrPort, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	head := make([]byte, 0, 128)
	head = append(head, protocol)
	head = append(from.AppendTo(head), '>')
	head = append(to.AppendTo(head), '\n')
	h.Write(head)
	h.Write(body)
	return h.Sum(nil)
}
