package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cespare/xxhash/v2"
)

// reply is a response that is ready to be written.
type reply struct {
	status    int
	body      []byte
	truncate  bool
	cutLength bool
	duplicate bool
}

func newReply(status int, v any) reply {
	body, err := json.Marshal(v)
	if err != nil {
		return reply{status: http.StatusInternalServerError}
	}
	return reply{status: status, body: body}
}

// buildReply returns the response to a completed request, with the response faults drawn for it.
func (s *Server) buildReply(j *job) reply {
	s.mu.Lock()
	warm := j.incarnation.warm || s.faults.SaysWarm
	draining := s.draining
	s.mu.Unlock()
	var p reply
	if j.order != nil {
		p = newReply(http.StatusOK, orderAnswer(j, warm, draining))
	} else {
		p = newReply(http.StatusOK, shardAnswer(j, warm, draining, s.config.Hits))
	}
	p.truncate, p.cutLength, p.duplicate = j.faults.truncate, j.faults.cutLength, j.faults.duplicate
	return p
}

func orderAnswer(j *job, warm, draining bool) wire.BackendOrderAnswer {
	a := wire.BackendOrderAnswer{
		Key: j.key, Incarnation: j.incarnation.name, Warm: warm, Draining: draining,
		Result: json.RawMessage(fmt.Sprintf(`{"Order":%q}`, j.key)), Complete: true,
	}
	if j.faults.wrongRequest {
		a.Key += "-other"
	}
	return a
}

func shardAnswer(j *job, warm, draining bool, hits int) wire.ShardAnswer {
	version := j.version
	if j.faults.wrongVersion {
		version += "-other"
	}
	a := wire.ShardAnswer{
		RequestID: j.id, Shard: j.shard, IndexVersion: version, Incarnation: j.incarnation.name,
		Warm: warm, Draining: draining, Hits: Hits(j.service, j.shard, version, j.query.Query, hits, j.query.TopK),
		Total: int64(hits), Complete: true,
	}
	if j.faults.wrongRequest {
		a.RequestID += "-other"
	}
	return a
}

// Hits returns the hits of a shard for a query, best first: the topK best of count, or all count hits
// when topK is 0. Every replica returns the same hits. The hit IDs have the form "shard/version/number".
func Hits(service, shard, version, query string, count, topK int) []wire.Hit {
	if topK > 0 {
		count = min(count, topK)
	}
	hits := make([]wire.Hit, count)
	h := xxhash.Sum64String(service + "\x00" + shard + "\x00" + version + "\x00" + query)
	score := 1.0
	for i := range hits {
		// Scores differ between shards and decrease within a shard, so that the merged result is unique.
		score *= 0.9 + 0.09*float64((h>>(i%8*8))&0xff)/256
		hits[i] = wire.Hit{ID: fmt.Sprintf("%s/%s/%d", shard, version, i), Score: score}
	}
	return hits
}

// send writes the reply, or an earlier one if a duplicate has delayed the replies of the connection. It
// panics with http.ErrAbortHandler after a reply that is shorter than its announced length.
func (s *Server) send(w http.ResponseWriter, r *http.Request, p reply) {
	if c := connFromRequest(r); c != nil {
		p = c.nextReply(p)
	}
	w.Header().Set("Content-Type", "application/json")
	body := p.body
	if p.truncate {
		body = body[:len(body)/2]
	}
	if !p.truncate || !p.cutLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(p.status)
		_, _ = w.Write(body)
		return
	}
	// Announce the length of the full body and close the connection after half of it.
	w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
