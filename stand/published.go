package stand

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/table"
)

// ErrPlatformDown is the error of a Published that is down.
var ErrPlatformDown = errors.New("stand: the platform is down")

// Published is a platform in memory: what operators and backend servers publish, and the changes of it.
// It is safe for concurrent use.
type Published struct {
	mu       sync.Mutex
	revision uint64
	config   *feed.Change
	servers  map[string]feed.Change
	out      map[string]feed.Change
	history  []feed.Change
	// first is the revision before the oldest change that is kept.
	first   uint64
	changed chan struct{}
	down    bool
	reads   int
}

// NewPublished returns a platform on which nothing is published.
func NewPublished() *Published {
	return &Published{
		revision: 1, first: 1, servers: make(map[string]feed.Change), out: make(map[string]feed.Change),
		changed: make(chan struct{}),
	}
}

// publish adds a change. The caller holds the lock.
func (p *Published) publish(c feed.Change) feed.Change {
	p.revision++
	c.Revision = p.revision
	p.history = append(p.history, c)
	close(p.changed)
	p.changed = make(chan struct{})
	return c
}

// SetConfig publishes a configuration with the next version.
func (p *Published) SetConfig(c table.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Version = p.revision + 1
	x := p.publish(feed.Change{Config: &c})
	p.config = &x
}

// PutServer publishes a server.
func (p *Published) PutServer(s feed.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[s.ID] = p.publish(feed.Change{Server: &s})
}

// RemoveServer takes a server off the list.
func (p *Published) RemoveServer(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, id)
	p.publish(feed.Change{Removed: id})
}

// SetOut takes a failure domain out or puts it back.
func (p *Published) SetOut(domain string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !out {
		delete(p.out, domain)
		p.publish(feed.Change{In: domain})
		return
	}
	p.out[domain] = p.publish(feed.Change{Out: domain})
}

// SetDown makes reads fail, or succeed again.
func (p *Published) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Forget drops the changes until now.
func (p *Published) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.first = nil, p.revision
}

// Reads returns the number of reads until now.
func (p *Published) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Load reads everything. A stale read is as new as any.
func (p *Published) Load(context.Context, bool) (feed.Delta, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return feed.Delta{}, ErrPlatformDown
	}
	d := feed.Delta{Full: true, To: p.revision}
	if p.config != nil {
		d.Changes = append(d.Changes, *p.config)
	}
	for _, c := range p.servers {
		d.Changes = append(d.Changes, c)
	}
	for _, c := range p.out {
		d.Changes = append(d.Changes, c)
	}
	return d, nil
}

// Watch returns the changes after a revision as soon as there are any, and none after the wait. Its
// error is feed.ErrGone when they are no longer kept.
func (p *Published) Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		d, changed, err := p.since(after)
		if err != nil || len(d.Changes) > 0 {
			return d, err
		}
		select {
		case <-changed:
		case <-end.C:
			return d, nil
		case <-ctx.Done():
			return d, ctx.Err()
		}
	}
}

func (p *Published) since(after uint64) (feed.Delta, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := feed.Delta{From: after, To: max(after, p.revision)}
	switch {
	case p.down:
		return d, nil, ErrPlatformDown
	case after < p.first:
		return d, nil, feed.ErrGone
	}
	for _, c := range p.history {
		if c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, p.changed, nil
}
