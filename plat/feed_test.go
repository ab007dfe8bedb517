package plat

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/table"
)

// Guards against routes, servers or failure domains missing from the feed, and against a watch that returns the
// same document again.
func TestFeed(t *testing.T) {
	is := is.New(t)
	layout := fake.Layout{}
	d := layout.Document()
	name := d.Services[0].Name
	d.Routes = []table.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []table.Target{{Service: name, Weight: 1}}}}
	platform, err := fake.NewPlatform(fake.PlatformConfig{Document: d})
	is.NoErr(err)
	defer platform.Close()
	server := httptest.NewServer(platform)
	defer server.Close()
	client, err := New(Config{URL: server.URL})
	is.NoErr(err)
	f := NewFeed(client)
	x, err := f.Load(context.Background(), true)
	is.NoErr(err)
	is.True(x.Full)
	is.Equal(x.To, feed.Revision(d.Version))
	is.Equal(x.Changes[0].Config.Routes, d.Routes)
	servers := 0
	for _, c := range x.Changes {
		if c.Server != nil {
			servers++
		}
	}
	is.Equal(servers, len(d.Services[0].Servers)*len(d.Services))

	x, err = f.Watch(context.Background(), x.To, 20*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(x.Changes), 0)
	next := *d
	next.Version++
	next.FailureDomains = append([]conf.FailureDomain(nil), d.FailureDomains...)
	next.FailureDomains[0].State = conf.DomainOut
	is.NoErr(platform.Publish(&next))
	x, err = f.Watch(context.Background(), feed.Revision(d.Version), time.Second)
	is.NoErr(err)
	is.Equal(x.To, feed.Revision(next.Version))
	is.Equal(x.Changes[len(x.Changes)-1].Out, d.FailureDomains[0].Name)
}
