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

// maxSkew is the most by which the time of a signed request may differ from the receiver's clock.
// It bounds how long a captured request can be sent again.
const maxSkew = 30 * time.Second

// sign returns the Fleet-Auth header of a request: its time in nanoseconds and the tag.
func sign(key []byte, now time.Time, method, to, uri string, body []byte) string {
	at := strconv.FormatInt(now.UnixNano(), 10)
	return at + ":" + requestTag(key, at, method, to, uri, body)
}

// verify checks the Fleet-Auth header of a request to this node.
func verify(keys [][]byte, now time.Time, header, method, to, uri string, body []byte) error {
	at, tag, ok := strings.Cut(header, ":")
	nanos, err := strconv.ParseInt(at, 10, 64)
	if !ok || err != nil {
		return errors.Newf("peer: malformed %s header", wire.HeaderFleetAuth)
	}
	for _, k := range keys {
		if !hmac.Equal([]byte(tag), []byte(requestTag(k, at, method, to, uri, body))) {
			continue
		}
		if skew := now.Sub(time.Unix(0, nanos)).Abs(); skew > maxSkew {
			return errors.Newf("peer: request was signed %s away from this clock", skew)
		}
		return nil
	}
	return errors.New("peer: request is signed with an unknown key")
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

// responseTag signs a response together with the request that it answers.
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
