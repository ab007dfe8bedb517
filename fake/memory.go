package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/table"
)

// ErrPlatformDown is the error that a Published returns while it is down.
var ErrPlatformDown = errors.New("fake: platform is down")

// MemoryPlatform is an in-memory platform. It stores the data published by operators and backend servers and
// the history of changes. It is safe for concurrent use.
type MemoryPlatform struct {
	mu       sync.Mutex
	revision uint64
	config   *feed.Change
	servers  map[string]feed.Change
	out      map[string]feed.Change
	history  []feed.Change
	// oldest is the revision before the oldest retained change.
	oldest  uint64
	changed chan struct{}
	down    bool
	reads   int
}

// NewMemoryPlatform returns an empty platform.
func NewMemoryPlatform() *MemoryPlatform {
	return &MemoryPlatform{
		revision: 1, oldest: 1, servers: make(map[string]feed.Change), out: make(map[string]feed.Change),
		changed: make(chan struct{}),
	}
}

// publish appends a change with the next revision and notifies the watches. p.mu must be held.
func (p *MemoryPlatform) publish(c feed.Change) feed.Change {
	p.revision++
	c.Revision = p.revision
	p.history = append(p.history, c)
	close(p.changed)
	p.changed = make(chan struct{})
	return c
}

// SetConfig publishes a configuration. Its version is set to its revision.
func (p *MemoryPlatform) SetConfig(c table.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Version = p.revision + 1
	x := p.publish(feed.Change{Config: &c})
	p.config = &x
}

// PutServer adds or replaces a server.
func (p *MemoryPlatform) PutServer(s feed.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[s.ID] = p.publish(feed.Change{Server: &s})
}

// RemoveServer removes a server.
func (p *MemoryPlatform) RemoveServer(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, id)
	p.publish(feed.Change{Removed: id})
}

// SetOut sets whether a failure domain is out of service.
func (p *MemoryPlatform) SetOut(domain string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !out {
		delete(p.out, domain)
		p.publish(feed.Change{In: domain})
		return
	}
	p.out[domain] = p.publish(feed.Change{Out: domain})
}

// SetDown sets whether reads and watches fail with ErrPlatformDown.
func (p *MemoryPlatform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Compact deletes the history of changes up to the current revision.
func (p *MemoryPlatform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.oldest = nil, p.revision
}

// Reads returns the number of calls of Load and Watch.
func (p *MemoryPlatform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Load returns all published data. Reads that allow stale data return the current data as well. It
// returns ErrPlatformDown while the platform is down.
func (p *MemoryPlatform) Load(context.Context, bool) (feed.Delta, error) {
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

// Watch waits for changes after a revision and returns them, or an empty delta when none occur within
// the wait time. It returns feed.ErrCompacted if the changes after the revision are no longer retained,
// ErrPlatformDown while the platform is down, and the error of ctx when ctx is done.
func (p *MemoryPlatform) Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
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

func (p *MemoryPlatform) since(after uint64) (feed.Delta, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := feed.Delta{From: after, To: max(after, p.revision)}
	switch {
	case p.down:
		return d, nil, ErrPlatformDown
	case after < p.oldest:
		return d, nil, feed.ErrCompacted
	}
	for _, c := range p.history {
		if c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, p.changed, nil
}
