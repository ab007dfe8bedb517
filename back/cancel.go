package back

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

func isCanceled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// cancel cancels a request at the server and waits for at most CancelTimeout until it has ended there.
// Without the wait, the next request could exceed the concurrency limit of a cold server. If there is
// an idle connection, cancel sends POST /cancel on it and keeps the connection of the request, because
// each hedge that loses would otherwise cost a new connection. If there is none, it closes the
// connection, which also cancels the request.
func (k *Client) cancel(p *pool, c *conn, q request) {
	v := p.acquireIdle(q.id)
	if v == nil {
		c.shutdown(k.config.CancelTimeout)
		p.release()
		return
	}
	k.sendCancel(p, v, c, q)
}

// sendCancel sends POST /cancel on v and then reads the rest of the answer on c.
func (k *Client) sendCancel(p *pool, v, c *conn, q request) {
	s := k.scratch.Get().(*scratch)
	defer k.putScratch(s)
	deadline := time.Now().Add(k.config.CancelTimeout)
	body := struct {
		RequestID string `json:"RequestId"`
		Shard     string `json:"Shard"`
	}{q.id, q.shard}
	err := s.encode(request{path: "/cancel", id: q.id, body: &body}, p.host, deadline, k.config.MaxRequest)
	if err != nil || !v.prepare(deadline, false) {
		p.retire(v)
		p.retire(c)
		return
	}
	var r Result
	k.roundTrip(context.Background(), p, v, s, &r)
	if c.raw.SetDeadline(deadline) != nil {
		p.retire(c)
		return
	}
	status, reusable, err := c.readAnswer(s, k.config.MaxAnswer)
	if err == nil && status != http.StatusOK {
		// The answer is not decoded, and may be a rejection.
		reusable = c.recordRejection(q.id) && reusable
	}
	if err != nil || !reusable {
		p.retire(c)
		return
	}
	c.answers++
	p.put(c)
}
