package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/arbutusthread/arbutusthread/wire"
)

// An answer to a gather query is a stream of frames: the length of the part in 4 bytes, a tag of
// frameTag bytes, and the part as CBOR. The tag is a shortened HMAC over the tag of the request, the
// number of the frame and the part.
const (
	pathGather = "/peer/gather"
	frameTag   = 16
	frameHead  = 4 + frameTag
	// maxFrame bounds a part in bytes.
	maxFrame = 4 << 20
)

// Gather asks a relay for parts of an answer and calls the function for each part, until the relay
// has ended. Its error is a *wire.Failure; one with Forwarded false says that no byte was written.
func (k *Client) Gather(ctx context.Context, to netip.AddrPort, q *wire.GatherQuery, part func(wire.GatherPart)) error {
	body, err := cbor.Marshal(q)
	if err != nil {
		return wire.Refuse(wire.StepRelay, to.String(), wire.ReasonBadRequest, "encode: %v", err)
	}
	peer := to.String()
	t := &trace{}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.hooks()), http.MethodPost,
		k.scheme+"://"+peer+pathGather, bytes.NewReader(body))
	if err != nil {
		return wire.Refuse(wire.StepRelay, peer, wire.ReasonBadRequest, "%v", err)
	}
	auth := sign(k.keys[0], time.Now(), http.MethodPost, peer, pathGather, body)
	r.Header.Set(wire.HeaderFleetAuth, auth)
	r.Header.Set(wire.HeaderFleetProtocol, wire.FleetProtocol)
	r.Header.Set("User-Agent", "")
	resp, err := k.transport.RoundTrip(r)
	if err != nil {
		return k.fail(ctx, t, peer, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.finish()
		return wire.Refuse(wire.StepRelay, peer, wire.ReasonPeer, "status %d", resp.StatusCode)
	}
	for n := uint64(0); ; n++ {
		p, err := readFrame(k.keys, resp.Body, auth, n)
		if errors.Is(err, io.EOF) {
			t.finish()
			return nil
		}
		if err != nil {
			return k.fail(ctx, t, peer, err)
		}
		part(p)
	}
}

// readFrame reads one part. Its error is io.EOF at the end of the stream.
func readFrame(keys [][]byte, r io.Reader, auth string, n uint64) (wire.GatherPart, error) {
	var p wire.GatherPart
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return p, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > maxFrame {
		return p, errors.Newf("peer: frame of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return p, errors.Wrap(err, "peer: read frame")
	}
	for _, k := range keys {
		if hmac.Equal(head[4:], tagFrame(k, auth, n, body)) {
			return p, errors.Wrap(cbor.Unmarshal(body, &p), "peer: decode frame")
		}
	}
	return p, errors.New("peer: frame is not signed by a fleet key")
}

func tagFrame(key []byte, auth string, n uint64, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(auth))
	h.Write(binary.BigEndian.AppendUint64(nil, n))
	h.Write(body)
	return h.Sum(nil)[:frameTag]
}

// answerGather serves a query of another node as a relay.
func (n *Node) answerGather(w http.ResponseWriter, r *http.Request) {
	body, err := n.authenticate(w, r)
	if err != nil {
		n.config.Log.Warn("peer: gather query refused", "peer", r.RemoteAddr, "error", err)
		w.WriteHeader(wire.AsFailure(err).Status())
		return
	}
	var q wire.GatherQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		n.config.Log.Warn("peer: gather query cannot be decoded", "peer", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if n.config.Handlers.Gather == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	auth := r.Header.Get(wire.HeaderFleetAuth)
	count := uint64(0)
	send := func(p wire.GatherPart) error {
		part, err := cbor.Marshal(p)
		if err != nil {
			return errors.Wrap(err, "peer: encode frame")
		}
		frame := make([]byte, 4, frameHead+len(part))
		binary.BigEndian.PutUint32(frame, uint32(len(part)))
		frame = append(frame, tagFrame(n.config.Keys[0], auth, count, part)...)
		count++
		if _, err := w.Write(append(frame, part...)); err != nil {
			return errors.Wrap(err, "peer: write frame")
		}
		return errors.Wrap(http.NewResponseController(w).Flush(), "peer: write frame")
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if err := n.config.Handlers.Gather(r.Context(), &q, send); err != nil {
		if count == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		n.config.Log.Info("peer: gather query ended", "RequestId", q.RequestID, "peer", r.RemoteAddr, "error", err)
	}
}
