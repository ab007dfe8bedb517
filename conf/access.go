package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashKey returns the hex SHA-256 hash of a caller's key, as a document lists it.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// selectorBytes is the length of the part of a hash that the index is ordered by. Two of 20,000
// callers share 8 bytes with a probability below 1 in 10^10, and are still told apart.
const selectorBytes = 8

// CallerIndex finds callers by their keys. It costs one hash and one comparison for a request,
// whatever the number of callers. Build one for each installed document.
type CallerIndex struct {
	entries map[[selectorBytes]byte][]callerEntry
}

type callerEntry struct {
	hash   [hashBytes]byte
	caller *Caller
}

// NewCallerIndex returns the index of a document that has passed Check.
func NewCallerIndex(d *Document) *CallerIndex {
	x := &CallerIndex{entries: map[[selectorBytes]byte][]callerEntry{}}
	for i := range d.Callers {
		for _, h := range d.Callers[i].KeyHashes {
			raw, err := hex.DecodeString(h)
			if err != nil || len(raw) != hashBytes {
				continue
			}
			at := [selectorBytes]byte(raw[:selectorBytes])
			x.entries[at] = append(x.entries[at], callerEntry{hash: [hashBytes]byte(raw), caller: &d.Callers[i]})
		}
	}
	return x
}

// Authenticate returns the caller that has the key. The first bytes of the key's hash select the
// entries, and the comparison of whole hashes takes constant time.
func (x *CallerIndex) Authenticate(key string) (*Caller, bool) {
	h := sha256.Sum256([]byte(key))
	var found *Caller
	for _, e := range x.entries[[selectorBytes]byte(h[:selectorBytes])] {
		if subtle.ConstantTimeCompare(e.hash[:], h[:]) == 1 {
			found = e.caller
		}
	}
	return found, found != nil
}

// Authenticate returns the caller of the document that has the key. It reads all callers; a
// process that serves requests keeps a CallerIndex instead.
func Authenticate(d *Document, key string) (*Caller, bool) {
	return NewCallerIndex(d).Authenticate(key)
}
