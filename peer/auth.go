package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// maxClockSkew is the maximum difference between the timestamp of a signed request and the receiver's clock.
// It limits how long a captured request can be replayed.
const maxClockSkew = 30 * time.Second

// signRequest returns the value of the Fleet-Auth header: the Unix time in nanoseconds and the HMAC tag,
// separated by a colon.
func signRequest(key []byte, now time.Time, method, to, uri string, body []byte) string {
	at := strconv.FormatInt(now.UnixNano(), 10)
	return at + ":" + requestTag(key, at, method, to, uri, body)
}

// verifyRequest checks the signature and the timestamp in the Fleet-Auth header of a request to this node.
func verifyRequest(keys [][]byte, now time.Time, header, method, to, uri string, body []byte) error {
	at, tag, ok := strings.Cut(header, ":")
	nanos, err := strconv.ParseInt(at, 10, 64)
	if !ok || err != nil {
		return errors.Newf("peer: malformed %s header", wire.HeaderFleetAuth)
	}
	for _, k := range keys {
		if !hmac.Equal([]byte(tag), []byte(requestTag(k, at, method, to, uri, body))) {
			continue
		}
		if skew := now.Sub(time.Unix(0, nanos)).Abs(); skew > maxClockSkew {
			return errors.Newf("peer: request timestamp differs from the local clock by %s", skew)
		}
		return nil
	}
	return errors.New("peer: request signature does not match any fleet key")
}

func requestTag(key []byte, at, method, to, uri string, body []byte) string {
	h := hmac.New(sha256.New, key)
	for _, s := range []string{"request", wire.FleetProtocol, at, method, to, uri} {
		h.Write([]byte(s))
		h.Write([]byte{'\n'})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// responseTag returns the tag of a response. It covers the Fleet-Auth header of the request, so that a response
// is valid for that request only.
func responseTag(key []byte, request string, status int, body []byte) string {
	h := hmac.New(sha256.New, key)
	for _, s := range []string{"response", request, strconv.Itoa(status)} {
		h.Write([]byte(s))
		h.Write([]byte{'\n'})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func verifyResponse(keys [][]byte, tag, request string, status int, body []byte) bool {
	for _, k := range keys {
		if hmac.Equal([]byte(tag), []byte(responseTag(k, request, status, body))) {
			return true
		}
	}
	return false
}
