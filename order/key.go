package order

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// formatVersion is the first byte of the binary encoding of a key.
	formatVersion = 1
	// maxNameBytes bounds each of the names of service and caller in a key.
	maxNameBytes = 256
	// maxAddressBytes bounds the binary encoding of the issuer's address.
	maxAddressBytes = 64
	// maxTextBytes bounds the text encoding of a key.
	maxTextBytes = 1024
	// minSecretBytes is the least length of a fleet key.
	minSecretBytes = 16
)

// Errors of Parse.
var (
	// ErrMalformed means that the text is not the encoding of a key.
	ErrMalformed = errors.New("order: malformed key")
	// ErrInvalidSignature means that the key is not signed with any of the fleet keys in use.
	ErrInvalidSignature = errors.New("order: key is not signed by this fleet")
)

var encoding = base64.RawURLEncoding.Strict()

// Key authorizes one order. Only the incarnation of the node that issued it may run the order.
type Key struct {
	Issuer      netip.AddrPort
	Incarnation uint64
	Service     string
	Caller      string
	Serial      uint64
	Expires     time.Time
}

// Signer signs and parses keys. It has no mutable state.
type Signer struct {
	secrets [][]byte
}

// NewSigner returns a signer. The first fleet key signs and all of them verify, which allows key
// rotation. It returns an error if there is no key or a key is shorter than 16 bytes.
func NewSigner(fleetKeys [][]byte) (*Signer, error) {
	if len(fleetKeys) == 0 {
		return nil, errors.New("order: no fleet key")
	}
	for i, k := range fleetKeys {
		if len(k) < minSecretBytes {
			return nil, errors.Newf("order: fleet key %d has %d bytes, fewer than %d", i, len(k), minSecretBytes)
		}
	}
	return &Signer{secrets: fleetKeys}, nil
}

// Sign returns the text encoding of the key, which is safe in a URL. It returns an error if the name of the
// service or of the caller is longer than 256 bytes, or the encoded address of the issuer than 64 bytes.
func (s *Signer) Sign(k Key) (string, error) {
	if len(k.Service) > maxNameBytes || len(k.Caller) > maxNameBytes {
		return "", errors.Newf("order: the name of the service or the caller is longer than %d bytes", maxNameBytes)
	}
	b, err := k.Issuer.AppendBinary([]byte{formatVersion, 0})
	if err != nil {
		return "", errors.Wrap(err, "order: encode the address of the issuer")
	}
	if len(b)-2 > maxAddressBytes {
		return "", errors.Newf("order: the address of the issuer is longer than %d bytes", maxAddressBytes)
	}
	b[1] = byte(len(b) - 2)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = binary.BigEndian.AppendUint64(b, k.Serial)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Expires.UnixNano()))
	b = appendName(b, k.Service)
	b = appendName(b, k.Caller)
	return encoding.EncodeToString(append(b, computeMAC(s.secrets[0], b)...)), nil
}

// Parse decodes and verifies a key that any node of the fleet has signed. The error is ErrMalformed or
// ErrInvalidSignature. It does not check the expiry, which only the issuer's clock decides.
func (s *Signer) Parse(text string) (Key, error) {
	if len(text) > maxTextBytes {
		return Key{}, ErrMalformed
	}
	b, err := encoding.DecodeString(text)
	if err != nil || len(b) <= sha256.Size {
		return Key{}, ErrMalformed
	}
	macOffset := len(b) - sha256.Size
	k, ok := parseBody(b[:macOffset])
	if !ok {
		return Key{}, ErrMalformed
	}
	for _, v := range s.secrets {
		if hmac.Equal(b[macOffset:], computeMAC(v, b[:macOffset])) {
			return k, nil
		}
	}
	return Key{}, ErrInvalidSignature
}

func computeMAC(secret, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	// The prefix separates this domain from other uses of the fleet key.
	h.Write([]byte("order-key\x00"))
	h.Write(b)
	return h.Sum(nil)
}

func appendName(b []byte, name string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(name)))
	return append(b, name...)
}

func parseBody(b []byte) (Key, bool) {
	c := cursor{rest: b}
	var k Key
	if v := c.take(1); !c.failed && v[0] != formatVersion {
		return k, false
	}
	size := c.take(1)
	if c.failed || k.Issuer.UnmarshalBinary(c.take(int(size[0]))) != nil || !k.Issuer.IsValid() {
		return k, false
	}
	k.Incarnation = c.number()
	k.Serial = c.number()
	k.Expires = time.Unix(0, int64(c.number())).UTC()
	k.Service = c.name()
	k.Caller = c.name()
	return k, !c.failed && len(c.rest) == 0
}

// cursor reads the binary encoding. After a read beyond the end it has failed and returns zero values.
type cursor struct {
	rest   []byte
	failed bool
}

func (c *cursor) take(n int) []byte {
	if c.failed || len(c.rest) < n {
		c.failed = true
		return nil
	}
	v := c.rest[:n]
	c.rest = c.rest[n:]
	return v
}

func (c *cursor) number() uint64 {
	v := c.take(8)
	if c.failed {
		return 0
	}
	return binary.BigEndian.Uint64(v)
}

func (c *cursor) name() string {
	v := c.take(2)
	if c.failed {
		return ""
	}
	n := int(binary.BigEndian.Uint16(v))
	if n > maxNameBytes {
		c.failed = true
	}
	return string(c.take(n))
}
