package peer

import (
	"context"
	"time"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/cockroachdb/errors"
)

// startPull gets the document or table that the event asks for. When too many pulls run, it does
// nothing: the state machine asks again.
func (n *Node) startPull(ctx context.Context, e fleet.Event) {
	pull := n.pullDocument
	switch e.Kind {
	case fleet.ConfigNewer:
		if n.config.Handlers.Pulled == nil {
			return
		}
	case fleet.FeedNewer:
		if n.config.Handlers.Feed == nil {
			return
		}
		pull = n.pullFeed
	case fleet.TableWanted:
		pull = n.pullTable
	default:
		return
	}
	select {
	case n.pulls <- struct{}{}:
	default:
		return
	}
	n.work.Go(func() {
		defer func() { <-n.pulls }()
		ctx, cancel := context.WithTimeout(ctx, n.config.Limits.PullTimeout)
		defer cancel()
		if err := pull(ctx, e); err != nil && ctx.Err() == nil {
			n.config.Log.Warn("peer: pull", "event", e.Kind, "peer", e.Peer, "version", e.Version, "error", err)
		}
	})
}

// pullDocument gets the change to the peer's document, or the whole document when the change does
// not fit.
func (n *Node) pullDocument(ctx context.Context, e fleet.Event) error {
	version, hash := n.Version()
	if version >= e.Version {
		return nil
	}
	d, err := n.Document(ctx, e.Peer, version, hash)
	if err != nil {
		return err
	}
	err = n.config.Handlers.Pulled(d)
	if err == nil || d.From == 0 || errors.Is(err, fleet.ErrStale) {
		return err
	}
	n.config.Log.Info("peer: change does not fit, pulling the whole document",
		"peer", e.Peer, "version", d.Version, "from", d.From, "error", err)
	if d, err = n.Document(ctx, e.Peer, 0, ""); err != nil {
		return err
	}
	return n.config.Handlers.Pulled(d)
}

func (n *Node) pullTable(ctx context.Context, e fleet.Event) error {
	t, err := n.Table(ctx, e.Peer)
	if err != nil {
		return err
	}
	n.do(func(now time.Time) []fleet.Output { return n.fleet.Merge(now, e.Peer, t) })
	return nil
}

// pullFeed gets the changes of what the platform publishes that the peer has and this node has not.
func (n *Node) pullFeed(ctx context.Context, e fleet.Event) error {
	d, err := n.Feed(ctx, e.Peer, n.config.Handlers.Position())
	if err != nil {
		return err
	}
	if err = n.config.Handlers.Fed(d); err == nil {
		return nil
	}
	n.config.Log.Info("peer: changes do not fit, pulling everything", "peer", e.Peer, "revision", d.To, "error", err)
	if d, err = n.Feed(ctx, e.Peer, feed.Position{}); err != nil {
		return err
	}
	return n.config.Handlers.Fed(d)
}
