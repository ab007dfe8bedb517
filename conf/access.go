package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashKey returns the hex SHA-256 hash of a caller's key, as in Caller.KeyHashes.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// prefixBytes is the length of the hash prefix that keys the index. The probability that two of 20,000
// callers share a prefix of 8 bytes is below 1 in 10^10, and the index still distinguishes them then.
const prefixBytes = 8

// CallerIndex looks up callers by key. A lookup takes one hash and one comparison, independent of the
// number of callers. Build one index for each installed document.
type CallerIndex struct {
	entries map[[prefixBytes]byte][]callerEntry
}

type callerEntry struct {
	hash   [hashBytes]byte
	caller *Caller
}

// NewCallerIndex returns the index of a document that has passed Check.
func NewCallerIndex(d *Document) *CallerIndex {
	x := &CallerIndex{entries: map[[prefixBytes]byte][]callerEntry{}}
	for i := range d.Callers {
		for _, h := range d.Callers[i].KeyHashes {
			raw, err := hex.DecodeString(h)
			if err != nil || len(raw) != hashBytes {
				continue
			}
			at := [prefixBytes]byte(raw[:prefixBytes])
			x.entries[at] = append(x.entries[at], callerEntry{hash: [hashBytes]byte(raw), caller: &d.Callers[i]})
		}
	}
	return x
}

// Authenticate returns the caller that has the key, or false. The first bytes of the key's hash select
// the entries; full hashes are compared in constant time.
func (x *CallerIndex) Authenticate(key string) (*Caller, bool) {
	h := sha256.Sum256([]byte(key))
	var found *Caller
	for _, e := range x.entries[[prefixBytes]byte(h[:prefixBytes])] {
		if subtle.ConstantTimeCompare(e.hash[:], h[:]) == 1 {
			found = e.caller
		}
	}
	return found, found != nil
}

// Authenticate returns the caller of the document that has the key, or false. It indexes all callers on
// each call; a process that serves requests keeps a CallerIndex instead.
func Authenticate(d *Document, key string) (*Caller, bool) {
	return NewCallerIndex(d).Authenticate(key)
}
