package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/feed"
)

// cutSource is a platform whose answers to watches cannot be read to their end. It records the loads.
type cutSource struct {
	stale []bool
}

func (s *cutSource) Load(_ context.Context, stale bool) (feed.Delta, error) {
	s.stale = append(s.stale, stale)
	return feed.Delta{Full: true, To: 9}, nil
}

func (s *cutSource) Watch(_ context.Context, after feed.Revision, _ time.Duration) (feed.Delta, error) {
	return feed.Delta{From: after, To: after}, errors.Wrap(feed.ErrIncomplete, "watch")
}

// Guards against a load that depends on a watch whose answer cannot be read: the node would never learn of a change.
func TestFreshLoadNeedsNoWatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &cutSource{}
	n := &Node{config: Config{Source: s}}
	_, err := n.load(t.Context(), false)
	is.True(errors.Is(err, feed.ErrIncomplete))
	d, err := n.load(t.Context(), true)
	is.NoErr(err)
	is.Equal(d.To, feed.Revision(9))
	is.Equal(s.stale, []bool{true, false})
}

// Guards against a node that stops following changes, or counts as blind, while the answers to its watches cannot be read.
func TestChangesAreFollowedWithoutWatches(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 94, "lukang")
	published.SetConfig(config("a"))
	waitFor(t, "the configuration", eventTimeout, func() bool { return hasService(members[0], "a") })
	members[0].source.cut.Store(true)
	for _, name := range []string{"b", "c"} {
		published.SetConfig(config(name))
		waitFor(t, "the next configuration", applyTime, func() bool { return hasService(members[0], name) })
		members[0].feedMu.Lock()
		failures := members[0].reader.Failures()
		members[0].feedMu.Unlock()
		is.Equal(failures, 0)
	}
}
