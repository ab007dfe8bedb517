package peer

import (
	"context"
	"time"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/panics"
	"github.com/cockroachdb/errors"
)

// startPull starts the pull of the document, feed or member table that the event requests, if any. It does nothing
// while maxConcurrentPulls pulls are running, because the state machine repeats the request.
func (n *Node) startPull(ctx context.Context, e fleet.Event) {
	pull := n.pullDocument
	switch e.Kind {
	case fleet.ConfigNewer:
		if n.config.Handlers.InstallDocument == nil {
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
	case n.pullPermits <- struct{}{}:
	default:
		return
	}
	n.goroutines.Go(func() {
		defer func() { <-n.pullPermits }()
		ctx, cancel := context.WithTimeout(ctx, n.config.Limits.PullTimeout)
		defer cancel()
		if err := panics.Catch(func() error { return pull(ctx, e) }); err != nil && ctx.Err() == nil {
			n.config.Log.Warn("peer: pull failed", "event", e.Kind, "peer", e.Peer, "version", e.Version, "error", err)
		}
	})
}

// pullDocument pulls the delta to the peer's document, or the whole document if the delta cannot be applied.
func (n *Node) pullDocument(ctx context.Context, e fleet.Event) error {
	version, hash := n.Version()
	if version >= e.Version {
		return nil
	}
	d, err := n.Document(ctx, e.Peer, version, hash)
	if err != nil {
		return err
	}
	err = n.config.Handlers.InstallDocument(d)
	if err == nil || d.From == 0 || errors.Is(err, fleet.ErrStale) {
		return err
	}
	n.config.Log.Info("peer: delta cannot be applied, pulling the whole document",
		"peer", e.Peer, "version", d.Version, "from", d.From, "error", err)
	if d, err = n.Document(ctx, e.Peer, 0, ""); err != nil {
		return err
	}
	return n.config.Handlers.InstallDocument(d)
}

func (n *Node) pullTable(ctx context.Context, e fleet.Event) error {
	t, err := n.Table(ctx, e.Peer)
	if err != nil {
		return err
	}
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.Merge(now, e.Peer, t) })
	return nil
}

// pullFeed pulls the changes of the platform feed that this node is missing, or the whole feed if they cannot be
// applied.
func (n *Node) pullFeed(ctx context.Context, e fleet.Event) error {
	d, err := n.Feed(ctx, e.Peer, n.config.Handlers.FeedPosition())
	if err != nil {
		return err
	}
	if err = n.config.Handlers.ApplyFeed(d); err == nil {
		return nil
	}
	n.config.Log.Info("peer: feed delta cannot be applied, pulling the whole feed",
		"peer", e.Peer, "revision", d.To, "error", err)
	if d, err = n.Feed(ctx, e.Peer, feed.Position{}); err != nil {
		return err
	}
	return n.config.Handlers.ApplyFeed(d)
}
