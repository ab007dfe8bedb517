package guard

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint identifies requests that are equal in service, kind and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a query or an order.
func FingerprintOf[B string | []byte](service, kind string, body B) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	// The lengths delimit the parts: without them, "ab"+"c" and "a"+"bc" would have the same fingerprint.
	binary.LittleEndian.PutUint32(size[:4], uint32(len(service)))
	binary.LittleEndian.PutUint32(size[4:], uint32(len(kind)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(service)
	_, _ = d.WriteString(kind)
	_, _ = d.WriteString(string(body))
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	b, _ := f.MarshalText()
	return string(b)
}

// MarshalText returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) {
	b := make([]byte, 0, 16)
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, "0123456789abcdef"[f>>shift&15])
	}
	return b, nil
}

// UnmarshalText parses up to 16 hexadecimal digits. It returns an error for any other text.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	v, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return errors.Wrapf(err, "guard: fingerprint %q", b)
	}
	*f = Fingerprint(v)
	return nil
}
