package plat

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/feed"
)

// Feed provides the configuration document as a feed for nodes that serve routes: its routes, the servers of its
// services and its failure domains. The document version is used as the revision. Feed is safe for concurrent use.
type Feed struct {
	client *Client
}

// NewFeed returns a feed that reads with the client.
func NewFeed(c *Client) *Feed { return &Feed{client: c} }

// Load reads the whole document. The second argument, which permits a stale read, is ignored, because the platform
// has no cheaper read.
func (f *Feed) Load(ctx context.Context, _ bool) (feed.Delta, error) {
	return f.read(ctx, 0, 0)
}

// Watch returns the whole document as soon as its version is above the revision after, or an empty delta if there is
// none within the wait.
func (f *Feed) Watch(ctx context.Context, after feed.Revision, wait time.Duration) (feed.Delta, error) {
	return f.read(ctx, after, wait)
}

func (f *Feed) read(ctx context.Context, after feed.Revision, wait time.Duration) (feed.Delta, error) {
	raw, err := f.client.Read(ctx, after.Number(), wait)
	if err != nil || raw == nil {
		return feed.Delta{From: after, To: after}, err
	}
	d, err := conf.ParseDocument(raw)
	if err == nil {
		err = d.Check().Err()
	}
	if err != nil {
		return feed.Delta{}, errors.Wrap(err, "plat: invalid configuration")
	}
	return deltaOf(d)
}

// deltaOf converts a document to a full delta.
func deltaOf(d *conf.Document) (feed.Delta, error) {
	revision, err := feed.NewRevision(0, d.Version)
	if err != nil {
		return feed.Delta{}, errors.Wrap(err, "plat: version of the configuration")
	}
	x := feed.Delta{To: revision, Full: true}
	x.Changes = append(x.Changes, feed.Change{Revision: revision, Config: d.Routing()})
	for _, v := range d.Services {
		for _, b := range v.Servers {
			x.Changes = append(x.Changes, feed.Change{Revision: revision, Server: &feed.Server{
				ID: b.Address.String(), Service: v.Name, Address: b.Address, FailureDomain: b.FailureDomain, Slots: b.Slots,
			}})
		}
	}
	for _, m := range d.FailureDomains {
		if m.State == conf.DomainOut {
			x.Changes = append(x.Changes, feed.Change{Revision: revision, Out: m.Name})
		}
	}
	return x, nil
}
