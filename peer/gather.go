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

// The response to a gather query is a stream of frames. A frame consists of the length of the part in 4 bytes,
// a tag of frameTagBytes bytes, and the part as CBOR. The tag is a truncated HMAC over the Fleet-Auth header of
// the request, the frame number and the part.
const (
	pathGather       = "/peer/gather"
	frameTagBytes    = 16
	frameHeaderBytes = 4 + frameTagBytes
	// maxFrameBytes is the maximum size of a part in bytes.
	maxFrameBytes = 4 << 20
)

// gatherDecoder accepts text that is not UTF-8, because paths and headers of callers and seals of servers may hold any
// bytes.
var gatherDecoder = newGatherDecoder()

func newGatherDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Gather sends a query to a relay and calls part for each part of the response until the relay ends the stream.
// Errors are of type *wire.Failure. Forwarded is false in an error if no byte of the request was written.
func (k *Client) Gather(ctx context.Context, to netip.AddrPort, q *wire.GatherQuery, part func(wire.GatherPart)) error {
	body, err := cbor.Marshal(q)
	if err != nil {
		return wire.Refuse(wire.StepRelay, to.String(), wire.ReasonBadRequest, "encode: %v", err)
	}
	peer := to.String()
	t := &connTrace{}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.hooks()), http.MethodPost,
		k.scheme+"://"+peer+pathGather, bytes.NewReader(body))
	if err != nil {
		return wire.Refuse(wire.StepRelay, peer, wire.ReasonBadRequest, "%v", err)
	}
	auth := signRequest(k.keys[0], time.Now(), http.MethodPost, peer, pathGather, body)
	r.Header.Set(wire.HeaderFleetAuth, auth)
	r.Header.Set(wire.HeaderFleetProtocol, wire.FleetProtocol)
	r.Header.Set("User-Agent", "")
	resp, err := k.transport.RoundTrip(r)
	if err != nil {
		return k.classifyError(ctx, t, peer, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.release()
		return wire.Refuse(wire.StepRelay, peer, wire.ReasonPeer, "status %d", resp.StatusCode)
	}
	for n := uint64(0); ; n++ {
		p, err := readFrame(k.keys, resp.Body, auth, n)
		if errors.Is(err, io.EOF) {
			t.release()
			return nil
		}
		if err != nil {
			return k.classifyError(ctx, t, peer, err)
		}
		part(p)
	}
}

// readFrame reads one part and verifies its tag; n is the number of the frame. It returns io.EOF at the end of
// the stream.
func readFrame(keys [][]byte, r io.Reader, auth string, n uint64) (wire.GatherPart, error) {
	var p wire.GatherPart
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return p, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > maxFrameBytes {
		return p, errors.Newf("peer: frame size of %d bytes exceeds the limit", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return p, errors.Wrap(err, "peer: read frame")
	}
	for _, k := range keys {
		if hmac.Equal(head[4:], frameMAC(k, auth, n, body)) {
			return p, errors.Wrap(gatherDecoder.Unmarshal(body, &p), "peer: decode frame")
		}
	}
	return p, errors.New("peer: frame is not signed by a fleet key")
}

func frameMAC(key []byte, auth string, n uint64, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(auth))
	h.Write(binary.BigEndian.AppendUint64(nil, n))
	h.Write(body)
	return h.Sum(nil)[:frameTagBytes]
}

// handleGather serves a query of another node as a relay and streams the parts of the response as signed frames.
func (n *Node) handleGather(w http.ResponseWriter, r *http.Request) {
	body, err := n.authenticate(w, r)
	if err != nil {
		n.config.Log.Warn("peer: gather query refused", "peer", r.RemoteAddr, "error", err)
		w.WriteHeader(wire.AsFailure(err).Status())
		return
	}
	var q wire.GatherQuery
	if err := gatherDecoder.Unmarshal(body, &q); err != nil {
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
		frame := make([]byte, 4, frameHeaderBytes+len(part))
		binary.BigEndian.PutUint32(frame, uint32(len(part)))
		frame = append(frame, frameMAC(n.config.Keys[0], auth, count, part)...)
		count++
		if _, err := w.Write(append(frame, part...)); err != nil {
			return errors.Wrap(err, "peer: write frame")
		}
		return errors.Wrap(http.NewResponseController(w).Flush(), "peer: flush frame")
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if err := n.config.Handlers.Gather(r.Context(), &q, send); err != nil {
		if count == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		n.config.Log.Info("peer: gather query failed", "RequestId", q.RequestID, "peer", r.RemoteAddr, "error", err)
	}
}
