package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/panics"
)

const (
	// readGrace is how long a platform read may take beyond the wait of the watch. It doubles with each consecutive
	// failure, up to maxReadGrace, so that a platform that has become slow can still be read.
	readGrace    = 700 * time.Millisecond
	maxReadGrace = 4 * time.Second
)

// read reads the platform whenever the reader schedules it, until ctx ends.
func (n *Node) read(ctx context.Context) {
	reading := false
	for ctx.Err() == nil {
		in := n.readerInput()
		n.feedMu.Lock()
		p := n.reader.Plan(time.Now(), in)
		n.feedMu.Unlock()
		if p.Step == feed.Idle {
			reading = reading && in.Rank == 0
			clock.Sleep(ctx, p.Wait)
			continue
		}
		if !reading {
			n.log.Info("platform reader started", "Rank", in.Rank, "Age", in.Age, "AgeKnown", in.Known, "Revision", in.Revision)
		}
		reading = true
		n.readOnce(ctx, p)
	}
}

func (n *Node) readerInput() feed.Input {
	in := feed.Input{Rank: n.peer.ReaderRank(), Revision: n.revision()}
	in.Age, in.Known = n.peer.FeedAge()
	return in
}

func (n *Node) readOnce(ctx context.Context, p feed.Plan) {
	n.feedMu.Lock()
	failures := n.reader.Failures()
	n.feedMu.Unlock()
	stopped := ctx.Done()
	ctx, cancel := context.WithTimeout(ctx, p.Wait+min(maxReadGrace, readGrace<<min(failures, 10)))
	defer cancel()
	var d feed.Delta
	err := panics.Catch(func() (err error) {
		if p.Step == feed.Load {
			d, err = n.load(ctx, p.Fresh)
		} else {
			d, err = n.config.Source.Watch(ctx, p.After, p.Wait)
		}
		return err
	})
	if err == nil && d.To.Era() < n.revision().Era() {
		err = feed.ErrEarlierEra
	}
	now := time.Now()
	n.metrics.Count("platform_reads", "step", p.Step.String(), "ok", strconv.FormatBool(err == nil))
	if err != nil {
		select {
		case <-stopped: // the node is stopping: the error is no failure of the platform
		default:
			// Otherwise a peer has sent the new era during the watch, so that no load is needed.
			if p.Step != feed.Watch || !errors.Is(err, feed.ErrRestored) || n.revision().Era() == p.After.Era() {
				n.recordReadFailure(now, err)
			}
		}
		return
	}
	n.feedMu.Lock()
	n.reader.RecordSuccess(now, &d)
	n.feedMu.Unlock()
	if p.Step == feed.Load {
		n.log.Info("platform loaded", "Revision", d.To, "Changes", len(d.Changes))
	}
	if failures > 0 {
		n.log.Info("platform reads succeed again", "Failures", failures, "Revision", d.To)
	}
	if err := panics.Catch(func() error { return n.apply(now, d, "platform") }); err != nil {
		n.log.Warn("cannot apply platform data", "Error", err)
		n.recordReadFailure(now, err)
		return
	}
	n.setBlind(false)
	n.peer.SetFeed(uint64(n.revision()), true)
}

// load reads a full snapshot: a stale read plus the changes after it or, when the platform no longer keeps these or the
// stale answer is of an earlier era, a read that is not stale. A fresh load needs only the latter.
func (n *Node) load(ctx context.Context, fresh bool) (feed.Delta, error) {
	source := n.config.Source
	if fresh {
		return source.Load(ctx, false)
	}
	d, err := source.Load(ctx, true)
	if err != nil {
		return d, err
	}
	w, err := source.Watch(ctx, d.To, time.Millisecond)
	if errors.IsAny(err, feed.ErrCompacted, feed.ErrRestored) {
		return source.Load(ctx, false)
	}
	d.To = w.To
	d.Changes = append(d.Changes, w.Changes...)
	return d, err
}

func (n *Node) recordReadFailure(now time.Time, err error) {
	n.feedMu.Lock()
	n.reader.RecordFailure(now, err, rand.Float64())
	failures, blind := n.reader.Failures(), n.reader.IsBlind()
	n.feedMu.Unlock()
	n.setBlind(blind)
	if failures == 1 || errors.IsAny(err, feed.ErrCompacted, feed.ErrIncomplete, feed.ErrRestored) {
		n.log.Warn("platform read failed", "Error", err, "Revision", n.revision())
	}
}
