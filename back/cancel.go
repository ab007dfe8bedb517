package back

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

func canceled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// cancel ends a request at the server and waits until it has ended there, at most for
// CancelTimeout: a new request in its place would otherwise exceed what a cold server bears. With
// an idle connection at hand it sends POST /cancel and keeps the connection of the request, because
// the losers of hedges would otherwise cost a new connection each. Without one it closes the
// connection, which cancels the request too.
func (k *Client) cancel(p *pool, c *conn, q request) {
	v := p.takeIdle()
	if v == nil {
		c.shutdown(k.config.CancelTimeout)
		p.release()
		return
	}
	k.cancelOver(p, v, c, q)
}

// cancelOver sends the cancellation over v and then waits for the end of the answer on c.
func (k *Client) cancelOver(p *pool, v, c *conn, q request) {
	s := k.scratch.Get().(*scratch)
	defer k.keep(s)
	deadline := time.Now().Add(k.config.CancelTimeout)
	body := struct {
		RequestID string `json:"RequestId"`
		Shard     string `json:"Shard"`
	}{q.id, q.shard}
	err := s.encode(request{path: "/cancel", id: q.id, body: &body}, p.host, deadline, k.config.MaxRequest)
	if err != nil || !v.ready(deadline, false) {
		p.retire(v)
		p.retire(c)
		return
	}
	var r Result
	k.exchange(context.Background(), p, v, s, &r)
	if c.raw.SetDeadline(deadline) != nil {
		p.retire(c)
		return
	}
	if _, reusable, err := c.read(s, k.config.MaxAnswer); err != nil || !reusable {
		p.retire(c)
		return
	}
	c.served++
	p.put(c)
}
