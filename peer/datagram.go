package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"net/netip"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/cockroachdb/errors"
)

// A datagram is one byte of protocol version, an HMAC-SHA-256 tag and a message as JSON. The tag
// covers the version, the addresses of sender and receiver, and the message, so that a captured
// datagram is refused by any other node.
const (
	datagramProtocol = 1
	headerSize       = 1 + sha256.Size
	maxDatagram      = headerSize + fleet.MaxMessage
)

// Reasons for which a datagram is refused.
var (
	errSize     = errors.New("peer: datagram has a wrong size")
	errProtocol = errors.New("peer: datagram of an unknown protocol version")
	errKey      = errors.New("peer: datagram with an unknown key")
	errDecode   = errors.New("peer: datagram with a message that cannot be decoded")
)

// sealDatagram encodes a message for one receiver.
func sealDatagram(key []byte, from, to netip.AddrPort, m *fleet.Message) ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "peer: encode message")
	}
	if len(body) > fleet.MaxMessage {
		return nil, errors.Wrapf(errSize, "%s message of %d bytes", m.Kind, len(body))
	}
	b := make([]byte, headerSize, headerSize+len(body))
	b[0] = datagramProtocol
	copy(b[1:], datagramTag(key, from, to, body))
	return append(b, body...), nil
}

// openDatagram checks and decodes a datagram.
func openDatagram(keys [][]byte, from, to netip.AddrPort, b []byte) (fleet.Message, error) {
	var m fleet.Message
	if len(b) <= headerSize || len(b) > maxDatagram {
		return m, errSize
	}
	if b[0] != datagramProtocol {
		return m, errProtocol
	}
	tag, body := b[1:headerSize], b[headerSize:]
	known := false
	for _, k := range keys {
		known = known || hmac.Equal(tag, datagramTag(k, from, to, body))
	}
	if !known {
		return m, errKey
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return fleet.Message{}, errors.CombineErrors(errDecode, err)
	}
	switch m.Kind {
	case fleet.KindHeartbeat, fleet.KindAck, fleet.KindUpdate,
		fleet.KindClaim, fleet.KindPromise, fleet.KindDeny, fleet.KindRelease:
		return m, nil
	}
	return fleet.Message{}, errDecode
}

func datagramTag(key []byte, from, to netip.AddrPort, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	head := make([]byte, 0, 128)
	head = append(head, datagramProtocol)
	head = append(from.AppendTo(head), '>')
	head = append(to.AppendTo(head), '\n')
	h.Write(head)
	h.Write(body)
	return h.Sum(nil)
}
