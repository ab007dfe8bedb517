package node

import (
	"context"
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/panics"
	"github.com/arbutusthread/arbutusthread/wire"
)

var errNothingSent = errors.New("node: no shard could be sent to a server")

// startRelay delegates shards of a request to a relay node. The caller holds n.mu.
func (n *Node) startRelay(now time.Time, c *call, s gather.RelaySend) {
	ctx, cancel := context.WithDeadline(context.Background(), s.Deadline)
	n.relays[s.Relay] = cancel
	q := &wire.GatherQuery{
		RequestID: c.forward.RequestID, Class: c.job.Class, TopK: c.topK,
		ReplyIn: milliseconds(s.ReplyAt.Sub(now)), Timeout: milliseconds(s.Deadline.Sub(now)),
		Method: c.forward.Method, URI: c.forward.URI, Host: c.forward.Host, Header: c.forward.Header, Body: c.forward.Body,
	}
	for _, i := range s.Tasks {
		q.Pools = append(q.Pools, c.job.Pools[i])
	}
	go func() {
		defer cancel()
		err := panics.Catch(func() error {
			return n.peer.Gather(ctx, s.Address, q, func(p wire.GatherPart) { n.mergeRelayPart(c, s, p) })
		})
		n.finishRelay(ctx, c, s, err)
	}()
}

// mergeRelayPart adds a part of a relay's answer to the request. It drops a malformed part.
func (n *Node) mergeRelayPart(c *call, s gather.RelaySend, p wire.GatherPart) {
	answered, ok := tasksOf(s, p.Answered)
	failed, okFailed := tasksOf(s, p.Failed)
	refused, okRefused := tasksOf(s, p.Refused)
	declined, okDeclined := tasksOf(s, p.Declined)
	if !ok || !okFailed || !okRefused || !okDeclined || len(p.Seals) != len(p.Answered) || len(p.Latencies) != len(p.Answered) {
		n.log.Warn("malformed part of a relay answer dropped", "RequestId", c.forward.RequestID, "Peer", s.Address)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	part, usable := c.partOf(&p, n.engine.NeedsRelayed(s.Relay, answered))
	act := n.engine.RelayReport(now, s.Relay, gather.RelayPart{
		Answered: answered, Latencies: durations(p.Latencies), Unusable: !usable,
		Failed: failed, Refused: refused, Declined: declined,
	})
	if n.calls[c.id] != c {
		n.startAttempts(now, act)
		n.logDecisions(c, act)
		return
	}
	if act.Accepted {
		// Shards that were answered before keep their parts.
		for _, i := range answered {
			if c.parts[i] == nil {
				c.parts[i] = part
			}
		}
	}
	n.perform(now, c, act)
}

// partOf returns the part with the records and seals of the needed shards of a relay's answer. It reports false if
// their records cannot be told apart from those of other shards, or if records that the relay has cut off could belong
// in the answer without these.
func (c *call) partOf(p *wire.GatherPart, needed []bool) (*Part, bool) {
	if !slices.Contains(needed, false) {
		return &Part{Body: p.Records, Seals: p.Seals}, true
	}
	m := gather.Merged{Records: p.Records, Sources: make([]int, len(p.Records)/gather.RecordSize), Full: p.Cut}
	if len(p.Records)%gather.RecordSize != 0 || len(p.Sources) != 2*len(m.Sources) {
		return nil, false
	}
	for i := range m.Sources {
		m.Sources[i] = int(binary.BigEndian.Uint16(p.Sources[2*i:]))
	}
	part := &Part{Body: m.Only(func(source int) bool { return source < len(needed) && needed[source] })}
	for i, need := range needed {
		if need {
			part.Seals = append(part.Seals, p.Seals[i])
		}
	}
	bodies := [][]byte{part.Body}
	for _, x := range uniqueParts(c.parts) {
		bodies = append(bodies, x.Body)
	}
	return part, m.Suffices(bodies, c.topK)
}

func durations(ms []byte) []time.Duration {
	list := make([]time.Duration, 0, len(ms))
	for _, v := range ms {
		list = append(list, max(1, time.Duration(v))*time.Millisecond)
	}
	return list
}

// tasksOf maps shard indexes of a relay's answer to those of the request. It reports false if one is out of range.
func tasksOf(s gather.RelaySend, indexes []int) ([]int, bool) {
	tasks := make([]int, 0, len(indexes))
	for _, i := range indexes {
		if i < 0 || i >= len(s.Tasks) {
			return nil, false
		}
		tasks = append(tasks, s.Tasks[i])
	}
	return tasks, true
}

func (n *Node) finishRelay(ctx context.Context, c *call, s gather.RelaySend, err error) {
	r := gather.Result{Outcome: gather.Broken}
	if err != nil {
		f := wire.AsFailure(err)
		r.Detail = f.Error()
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			r.Outcome = gather.Canceled
		case f.Reason == wire.ReasonDeadline:
			r.Outcome = gather.TimedOut
		case f.NotRun:
			r.Outcome = gather.Unsent
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	delete(n.relays, s.Relay)
	act := n.engine.RelayEnd(now, s.Relay, r)
	if n.calls[c.id] != c {
		n.startAttempts(now, act)
		n.logDecisions(c, act)
		return
	}
	n.perform(now, c, act)
}

// serveRelay serves a query of another node as its relay. At the reply time that the requesting node asked for it sends
// the answers received until then, and afterwards further answers every partInterval. When shards fail, it reports at
// once, so that the requesting node can send them elsewhere.
func (n *Node) serveRelay(ctx context.Context, q *wire.GatherQuery, send func(wire.GatherPart) error) error {
	now := time.Now()
	c := &call{
		topK: q.TopK,
		forward: back.Forward{
			Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body, RequestID: q.RequestID,
		},
		// A relay sends each shard at most once: retries and hedges are left to the requesting node. Idempotent lets
		// the engine cancel attempts at hung servers.
		job: gather.Request{
			Class: q.Class, Pools: q.Pools, Merged: true, Idempotent: true, Relayed: true, MaxAttempts: 1,
			Deadline: now.Add(time.Duration(q.Timeout) * time.Millisecond),
		},
	}
	stream := &relayStream{call: c, sent: make([]bool, len(q.Pools)), ready: make(chan struct{}, 1)}
	c.onProgress = stream.onProgress
	ended := make(chan error, 1)
	go func() {
		ended <- panics.Catch(func() error {
			f, err := n.run(ctx, c)
			if err == nil && f.End == gather.Refused {
				err = errNothingSent
			}
			return err
		})
	}()
	reply := time.NewTimer(time.Duration(q.ReplyIn) * time.Millisecond)
	defer reply.Stop()
	for {
		select {
		case err := <-ended:
			if err != nil {
				return err
			}
			return n.flush(stream, send)
		case <-reply.C:
			reply.Reset(partInterval)
		case <-stream.ready:
			if !stream.urgent.Swap(false) {
				continue
			}
		}
		if err := n.flush(stream, send); err != nil {
			return err
		}
	}
}

// partInterval is the interval at which a relay sends further answers after the reply time. A part for each answer
// would take more processor time at both nodes than the answer itself.
const partInterval = 3 * time.Millisecond

// relayStream tracks which results of a relayed request have been reported to the requesting node.
type relayStream struct {
	call *call
	// sent marks the shards whose answers have been reported.
	sent   []bool
	failed []int
	ready  chan struct{}
	// urgent requests a report before the reply time, so that the requesting node can send failed shards to other
	// servers.
	urgent atomic.Bool
}

// onProgress records failed shards and wakes the sender. The caller holds Node.mu.
func (s *relayStream) onProgress(failed []int) {
	s.failed = append(s.failed, failed...)
	if len(failed) > 0 {
		s.urgent.Store(true)
	}
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// flush sends the results since the last flush, if there are any.
func (n *Node) flush(s *relayStream, send func(wire.GatherPart) error) error {
	var p wire.GatherPart
	var bodies [][]byte
	n.mu.Lock()
	for i, part := range s.call.parts {
		if part != nil && !s.sent[i] {
			s.sent[i] = true
			p.Answered = append(p.Answered, i)
			p.Seals = append(p.Seals, part.Seals...)
			// A latency takes one byte on the wire.
			p.Latencies = append(p.Latencies, byte(min(part.Latency.Milliseconds(), 255)))
			bodies = append(bodies, part.Body)
		}
	}
	for _, i := range s.failed {
		switch s.call.deliveries[i] {
		// A server may have run the request for the shard.
		case mayHaveRun:
			p.Failed = append(p.Failed, i)
		// A server received the request and refused it.
		case arrived:
			p.Refused = append(p.Refused, i)
		// No byte was sent to a server.
		default:
			p.Declined = append(p.Declined, i)
		}
	}
	s.failed = nil
	n.mu.Unlock()
	if len(p.Answered)+len(p.Failed)+len(p.Refused)+len(p.Declined) == 0 {
		return nil
	}
	m := gather.Merge(bodies, s.call.topK)
	p.Records, p.Cut = m.Records, m.Full
	if len(bodies) > 1 {
		for _, source := range m.Sources {
			p.Sources = binary.BigEndian.AppendUint16(p.Sources, uint16(source))
		}
	}
	return send(p)
}

// relaysOf returns the nodes that can relay for this one: the other live nodes of its region.
func (n *Node) relaysOf(members []fleet.Member) []gather.Relay {
	s := n.settings.Load()
	var relays []gather.Relay
	for _, m := range members {
		if m.State == fleet.StateAlive && m.Region == s.Region && m.Address != s.PeerAddress {
			relays = append(relays, gather.Relay{
				Address: m.Address, FailureDomain: m.FailureDomain, Cores: float64(m.Millicores) / 1000,
			})
		}
	}
	return relays
}

// milliseconds converts a duration to whole milliseconds for the wire, at least 1.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 1), int64(^uint32(0)>>1)))
}
