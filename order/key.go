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
	// keyFormat is the first byte of the binary form of a key.
	keyFormat = 1
	// maxName bounds the names of service and caller in a key, in bytes.
	maxName = 256
	// maxAddress bounds the binary form of the issuer's address, in bytes.
	maxAddress = 64
	// maxText bounds the text form of a key, in bytes.
	maxText = 1024
	// minSecret is the shortest fleet key in bytes.
	minSecret = 16
)

// Errors of Parse.
var (
	// ErrMalformed means that the text cannot be a key.
	ErrMalformed = errors.New("order: malformed key")
	// ErrForged means that no fleet key in use has signed the key.
	ErrForged = errors.New("order: key is not signed by this fleet")
)

var encoding = base64.RawURLEncoding.Strict()

// Key is the right to run one order. Only the incarnation of the node that issued it may run it.
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

// NewSigner returns a signer. The first fleet key signs; all of them verify, which allows
// rotation. It fails without keys or with one below 16 bytes.
func NewSigner(fleetKeys [][]byte) (*Signer, error) {
	if len(fleetKeys) == 0 {
		return nil, errors.New("order: no fleet key")
	}
	for i, k := range fleetKeys {
		if len(k) < minSecret {
			return nil, errors.Newf("order: fleet key %d has %d bytes, fewer than %d", i, len(k), minSecret)
		}
	}
	return &Signer{secrets: fleetKeys}, nil
}

// Sign returns the text form of the key, which is safe in a URL.
func (s *Signer) Sign(k Key) (string, error) {
	if len(k.Service) > maxName || len(k.Caller) > maxName {
		return "", errors.Newf("order: the name of the service or the caller is above %d bytes", maxName)
	}
	b, err := k.Issuer.AppendBinary([]byte{keyFormat, 0})
	if err != nil {
		return "", errors.Wrap(err, "order: address of the issuer")
	}
	if len(b)-2 > maxAddress {
		return "", errors.Newf("order: the address of the issuer is above %d bytes", maxAddress)
	}
	b[1] = byte(len(b) - 2)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = binary.BigEndian.AppendUint64(b, k.Serial)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Expires.UnixNano()))
	b = appendName(b, k.Service)
	b = appendName(b, k.Caller)
	return encoding.EncodeToString(append(b, tag(s.secrets[0], b)...)), nil
}

// Parse returns the key of a text that any node of the fleet has signed. Its error is ErrMalformed
// or ErrForged. It does not check the expiry, which only the issuer's clock decides.
func (s *Signer) Parse(text string) (Key, error) {
	if len(text) > maxText {
		return Key{}, ErrMalformed
	}
	b, err := encoding.DecodeString(text)
	if err != nil || len(b) <= sha256.Size {
		return Key{}, ErrMalformed
	}
	cut := len(b) - sha256.Size
	k, ok := parseBody(b[:cut])
	if !ok {
		return Key{}, ErrMalformed
	}
	for _, v := range s.secrets {
		if hmac.Equal(b[cut:], tag(v, b[:cut])) {
			return k, nil
		}
	}
	return Key{}, ErrForged
}

func tag(secret, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	// The prefix keeps tags of keys apart from other uses of the fleet key.
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
	if v := c.take(1); !c.bad && v[0] != keyFormat {
		return k, false
	}
	size := c.take(1)
	if c.bad || k.Issuer.UnmarshalBinary(c.take(int(size[0]))) != nil || !k.Issuer.IsValid() {
		return k, false
	}
	k.Incarnation = c.number()
	k.Serial = c.number()
	k.Expires = time.Unix(0, int64(c.number())).UTC()
	k.Service = c.name()
	k.Caller = c.name()
	return k, !c.bad && len(c.rest) == 0
}

// cursor reads the binary form. After a read beyond the end it is bad and returns zero values.
type cursor struct {
	rest []byte
	bad  bool
}

func (c *cursor) take(n int) []byte {
	if c.bad || len(c.rest) < n {
		c.bad = true
		return nil
	}
	v := c.rest[:n]
	c.rest = c.rest[n:]
	return v
}

func (c *cursor) number() uint64 {
	v := c.take(8)
	if c.bad {
		return 0
	}
	return binary.BigEndian.Uint64(v)
}

func (c *cursor) name() string {
	v := c.take(2)
	if c.bad {
		return ""
	}
	n := int(binary.BigEndian.Uint16(v))
	if n > maxName {
		c.bad = true
	}
	return string(c.take(n))
}
