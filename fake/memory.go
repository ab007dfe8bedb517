package fake

import (
	"context"
	"maps"
	"slices"
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
	revision feed.Revision
	config   *feed.Change
	servers  map[string]feed.Change
	out      map[string]feed.Change
	history  []feed.Change
	// oldest is the revision before the oldest retained change.
	oldest  feed.Revision
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

// SetConfig publishes a configuration. Its version is set to its revision, unless it has one.
func (p *MemoryPlatform) SetConfig(c table.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Version == 0 {
		c.Version = p.revision.Number() + 1
	}
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

// MemoryCopy is a copy of the data of a MemoryPlatform.
type MemoryCopy struct {
	revision     feed.Revision
	config       *feed.Change
	servers, out map[string]feed.Change
	history      []feed.Change
	oldest       feed.Revision
}

// Copy returns a copy of the data, from which Restore brings the platform back.
func (p *MemoryPlatform) Copy() MemoryCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return MemoryCopy{
		revision: p.revision, config: p.config, servers: maps.Clone(p.servers), out: maps.Clone(p.out),
		history: slices.Clone(p.history), oldest: p.oldest,
	}
}

// Restore brings the platform back from a copy, in a new era. What was published since the copy is lost, and its revisions are
// given out again. It returns an error if there can be no further era.
func (p *MemoryPlatform) Restore(c MemoryCopy) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	era := p.revision.Era() + 1
	if _, err := feed.NewRevision(era, c.revision.Number()); err != nil {
		return errors.Wrap(err, "fake: restore")
	}
	inEra := func(r feed.Revision) feed.Revision {
		r, _ = feed.NewRevision(era, r.Number())
		return r
	}
	p.revision, p.oldest, p.config = inEra(c.revision), inEra(c.oldest), nil
	if c.config != nil {
		x := *c.config
		x.Revision = inEra(x.Revision)
		p.config = &x
	}
	p.servers, p.out = maps.Clone(c.servers), maps.Clone(c.out)
	for _, m := range []map[string]feed.Change{p.servers, p.out} {
		for key, x := range m {
			x.Revision = inEra(x.Revision)
			m[key] = x
		}
	}
	p.history = slices.Clone(c.history)
	for i := range p.history {
		p.history[i].Revision = inEra(p.history[i].Revision)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
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
// feed.ErrRestored if the revision is of an earlier era,
// ErrPlatformDown while the platform is down, and the error of ctx when ctx is done.
func (p *MemoryPlatform) Watch(ctx context.Context, after feed.Revision, wait time.Duration) (feed.Delta, error) {
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

func (p *MemoryPlatform) since(after feed.Revision) (feed.Delta, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := feed.Delta{From: after, To: max(after, p.revision)}
	switch {
	case p.down:
		return d, nil, ErrPlatformDown
	case after.Era() < p.revision.Era():
		return d, nil, feed.ErrRestored
	case after < p.oldest, after > p.revision:
		return d, nil, feed.ErrCompacted
	}
	for _, c := range p.history {
		if c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, p.changed, nil
}
