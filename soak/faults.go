package soak

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

// window is the time interval during which a fault was active.
type window struct {
	kind string
	// node is the name of the affected node; empty if the fault affected all nodes or something other than a node.
	node     string
	from, to time.Time
}

// faultInjector injects seeded faults and records when each was active.
type faultInjector struct {
	world *world
	log   *slog.Logger

	mu      sync.Mutex
	windows []window
	changes []*change
	// removalMu is held while a server or failure domain is removed, so that at most one is missing at a time and
	// the document always lists others.
	removalMu sync.Mutex
}

const (
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 2500 * time.Millisecond
	// maxFaultInterval is the longest time between the starts of two faults; faults may overlap.
	maxFaultInterval = 1500 * time.Millisecond
	// settleTime is the fault-free time at the end of a run, and recoveryWindow its last part, in which
	// at least minRecoveryRatio of the requests must succeed.
	settleTime     = 9 * time.Second
	recoveryWindow = 3 * time.Second
)

// fault is one kind of fault. Its inject function returns when the fault is over.
type fault struct {
	name   string
	inject func(f *faultInjector, r *rand.Rand, d time.Duration) error
}

var faultKinds = []fault{
	{"kill", (*faultInjector).kill},
	{"kill all", (*faultInjector).killAll},
	{"pause", (*faultInjector).pause},
	{"stop", (*faultInjector).stop},
	{"rolling stop", (*faultInjector).rollingStop},
	{"reload", (*faultInjector).reload},
	{"platform down", (*faultInjector).platformDown},
	{"platform cut", (*faultInjector).platformCut},
	{"server link", (*faultInjector).serverLink},
	{"server fault", (*faultInjector).serverFault},
	{"full service", (*faultInjector).fullService},
	{"caller link", (*faultInjector).callerLink},
	{"route", (*faultInjector).addRoute},
	{"server leaves", (*faultInjector).serverLeaves},
	{"domain out", (*faultInjector).domainOut},
	{"drop shard", (*faultInjector).dropShard},
}

// run injects faults until ctx ends, and then waits until the active faults are over.
func (f *faultInjector) run(ctx context.Context, r *rand.Rand) []error {
	var work sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for ctx.Err() == nil {
		k := faultKinds[r.IntN(len(faultKinds))]
		d := minFaultTime + time.Duration(r.Float64()*float64(maxFaultTime-minFaultTime))
		own := rand.New(rand.NewPCG(r.Uint64(), 1))
		f.log.Info("soak: fault", "Kind", k.name, "For", d)
		work.Go(func() {
			if err := k.inject(f, own, d); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
		time.Sleep(time.Duration(r.Float64() * float64(maxFaultInterval)))
	}
	work.Wait()
	return errs
}

// recordWindow records the window of a fault that started at from and ends now.
func (f *faultInjector) recordWindow(kind, node string, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.windows = append(f.windows, window{kind, node, from, time.Now()})
}

func (f *faultInjector) randomNode(r *rand.Rand) *process {
	return f.world.nodes[r.IntN(len(f.world.nodes))]
}

func (f *faultInjector) kill(r *rand.Rand, d time.Duration) error {
	n := f.randomNode(r)
	defer f.recordWindow("kill", n.name, time.Now())
	n.signal(syscall.SIGKILL)
	time.Sleep(d)
	return n.restart(0)
}

func (f *faultInjector) killAll(r *rand.Rand, d time.Duration) error {
	defer f.recordWindow("kill", "", time.Now())
	for _, n := range f.world.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(d / 2)
	for _, i := range r.Perm(len(f.world.nodes)) {
		if err := f.world.nodes[i].restart(0); err != nil {
			return err
		}
	}
	return nil
}

func (f *faultInjector) pause(r *rand.Rand, d time.Duration) error {
	n := f.randomNode(r)
	defer f.recordWindow("pause", n.name, time.Now())
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
	return nil
}

func (f *faultInjector) stop(r *rand.Rand, _ time.Duration) error {
	return f.stopNode(f.randomNode(r))
}

func (f *faultInjector) stopNode(n *process) error {
	defer f.recordWindow("stop", n.name, time.Now())
	n.signal(syscall.SIGTERM)
	return n.restart(stopTime + time.Second)
}

// rollingStop stops the nodes one after the other, each while the one before is still stopping.
func (f *faultInjector) rollingStop(r *rand.Rand, d time.Duration) error {
	var work errgroup.Group
	for _, i := range r.Perm(len(f.world.nodes))[:len(f.world.nodes)/2] {
		work.Go(func() error { return f.stopNode(f.world.nodes[i]) })
		time.Sleep(d)
	}
	return work.Wait()
}

func (f *faultInjector) reload(r *rand.Rand, _ time.Duration) error {
	f.randomNode(r).signal(syscall.SIGHUP)
	return nil
}

func (f *faultInjector) platformDown(r *rand.Rand, d time.Duration) error {
	defer f.recordWindow("platform", "", time.Now())
	x := fake.PlatformFaults{Down: true}
	if r.IntN(2) == 0 {
		x = fake.PlatformFaults{Slow: wire.Duration(800 * time.Millisecond)}
	}
	f.world.platform.SetFaults(x)
	time.Sleep(d)
	f.world.platform.SetFaults(fake.PlatformFaults{})
	return nil
}

// injectLinkFault applies a random link fault to p for the duration d.
func (f *faultInjector) injectLinkFault(r *rand.Rand, p *proxy, d time.Duration) {
	switch r.IntN(6) {
	case 0:
		p.set(linkFault{Delay: 30 * time.Millisecond})
	case 1:
		p.set(linkFault{DropUp: true})
	case 2:
		p.set(linkFault{DropDown: true})
	case 3:
		p.set(linkFault{DropUp: true, DropDown: true})
	case 4:
		p.reset()
	default:
		p.set(linkFault{Refuse: true})
		p.reset()
	}
	time.Sleep(d)
	p.set(linkFault{})
}

func (f *faultInjector) platformCut(r *rand.Rand, d time.Duration) error {
	i := r.IntN(len(f.world.nodes))
	defer f.recordWindow("platform", f.world.nodes[i].name, time.Now())
	f.injectLinkFault(r, f.world.platformProxies[i], d)
	return nil
}

func (f *faultInjector) serverLink(r *rand.Rand, d time.Duration) error {
	defer f.recordWindow("server", "", time.Now())
	f.injectLinkFault(r, f.world.backends[r.IntN(len(f.world.backends))].proxy, d)
	return nil
}

func (f *faultInjector) serverFault(r *rand.Rand, d time.Duration) error {
	defer f.recordWindow("server", "", time.Now())
	s := f.world.backends[r.IntN(len(f.world.backends))].server
	x := fake.RoutedFaults{}
	share := 0.1 + 0.6*r.Float64()
	for _, set := range [][]*float64{
		{&x.Hang}, {&x.TruncateBody}, {&x.ResetAfterRun}, {&x.ExtraResponse}, {&x.Unframed, &x.Encoded}, {&x.InternalError},
	}[r.IntN(6)] {
		*set = share
	}
	if r.IntN(4) == 0 {
		x = fake.RoutedFaults{Slow: 80 * time.Millisecond}
	}
	s.SetFaults(x)
	time.Sleep(d)
	s.SetFaults(fake.RoutedFaults{})
	return nil
}

// fullService slows the servers of the shop down, so that they reject requests, and lets some of them repeat rejections
// late. All of them are slow, since a rejected request is sent to another server if one has room.
func (f *faultInjector) fullService(r *rand.Rand, d time.Duration) error {
	defer f.recordWindow("server", "", time.Now())
	shop := f.world.backends[shards*serversPerShard:][:shopServers]
	for _, b := range shop {
		b.server.SetFaults(fake.RoutedFaults{Slow: 60 * time.Millisecond, LateRejection: r.Float64()})
	}
	time.Sleep(d)
	for _, b := range shop {
		b.server.SetFaults(fake.RoutedFaults{})
	}
	return nil
}

func (f *faultInjector) callerLink(r *rand.Rand, d time.Duration) error {
	n := f.randomNode(r)
	defer f.recordWindow("caller", n.name, time.Now())
	f.injectLinkFault(r, f.world.callerProxies[n.caller], d)
	return nil
}

// hadFault reports whether a fault of one of the given kinds was active between from and to. If node is not
// empty, only faults that affected this node or have no node count.
func (f *faultInjector) hadFault(node string, from, to time.Time, of ...string) bool {
	for _, w := range f.windows {
		if slices.Contains(of, w.kind) && w.from.Before(to) && w.to.After(from) && (node == "" || w.node == "" || w.node == node) {
			return true
		}
	}
	return false
}
