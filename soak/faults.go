package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// window is a time in which a fault was there.
type window struct {
	kind string
	// node is the name of the node that it hit, empty when it hit others or all.
	node     string
	from, to time.Time
}

// change is a change of the document.
type change struct {
	version uint64
	at      time.Time
	// gone is a server that the document no longer names, and out a domain that it takes out, until the
	// time back; zero means that it stays so.
	gone, out string
	back      time.Time
}

// faults injects seeded faults and keeps when.
type faults struct {
	world *world
	log   *slog.Logger

	mu      sync.Mutex
	windows []window
	changes []*change
	// changed is held while a server or domain is out, so that the document always names others.
	changed sync.Mutex
}

const (
	// shortest and longest are the bounds of the time that a fault lasts.
	shortest = 300 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// longestGap is the longest time from one fault to the next; faults overlap.
	longestGap = 1500 * time.Millisecond
	// settleTime is the time without faults at the end, and calmTime its last part, in which all requests
	// must be answered.
	settleTime = 9 * time.Second
	calmTime   = 3 * time.Second
)

// fault is one kind of fault. It returns when the fault is over.
type fault struct {
	name string
	do   func(f *faults, r *rand.Rand, d time.Duration) error
}

var kinds = []fault{
	{"kill", (*faults).kill},
	{"kill all", (*faults).killAll},
	{"pause", (*faults).pause},
	{"stop", (*faults).stop},
	{"reload", (*faults).reload},
	{"platform down", (*faults).platformDown},
	{"platform cut", (*faults).platformCut},
	{"server link", (*faults).serverLink},
	{"server fault", (*faults).serverFault},
	{"caller link", (*faults).callerLink},
	{"route", (*faults).addRoute},
	{"server leaves", (*faults).serverLeaves},
	{"domain out", (*faults).domainOut},
}

// run injects faults until the context ends, and waits for their ends.
func (f *faults) run(ctx context.Context, r *rand.Rand) []error {
	var work sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for ctx.Err() == nil {
		k := kinds[r.IntN(len(kinds))]
		d := shortest + time.Duration(r.Float64()*float64(longest-shortest))
		own := rand.New(rand.NewPCG(r.Uint64(), 1))
		f.log.Info("soak: fault", "Kind", k.name, "For", d)
		work.Go(func() {
			if err := k.do(f, own, d); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
		time.Sleep(time.Duration(r.Float64() * float64(longestGap)))
	}
	work.Wait()
	return errs
}

// hit keeps the window of a fault that ends now.
func (f *faults) hit(kind, node string, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.windows = append(f.windows, window{kind, node, from, time.Now()})
}

func (f *faults) node(r *rand.Rand) *process { return f.world.nodes[r.IntN(len(f.world.nodes))] }

func (f *faults) kill(r *rand.Rand, d time.Duration) error {
	n := f.node(r)
	defer f.hit("kill", n.name, time.Now())
	n.signal(syscall.SIGKILL)
	time.Sleep(d)
	return n.restart(0)
}

func (f *faults) killAll(r *rand.Rand, d time.Duration) error {
	defer f.hit("kill", "", time.Now())
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

func (f *faults) pause(r *rand.Rand, d time.Duration) error {
	n := f.node(r)
	defer f.hit("pause", n.name, time.Now())
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
	return nil
}

func (f *faults) stop(r *rand.Rand, _ time.Duration) error {
	n := f.node(r)
	defer f.hit("stop", n.name, time.Now())
	n.signal(syscall.SIGTERM)
	return n.restart(stopTime + time.Second)
}

func (f *faults) reload(r *rand.Rand, _ time.Duration) error {
	f.node(r).signal(syscall.SIGHUP)
	return nil
}

func (f *faults) platformDown(r *rand.Rand, d time.Duration) error {
	defer f.hit("platform", "", time.Now())
	x := stand.PlatformFaults{Down: true}
	if r.IntN(2) == 0 {
		x = stand.PlatformFaults{Slow: wire.Duration(800 * time.Millisecond)}
	}
	f.world.platform.SetFaults(x)
	time.Sleep(d)
	f.world.platform.SetFaults(stand.PlatformFaults{})
	return nil
}

// link draws a fault of a link and holds it.
func (f *faults) link(r *rand.Rand, p *proxy, d time.Duration) {
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

func (f *faults) platformCut(r *rand.Rand, d time.Duration) error {
	i := r.IntN(len(f.world.nodes))
	defer f.hit("platform", f.world.nodes[i].name, time.Now())
	f.link(r, f.world.platforms[i], d)
	return nil
}

func (f *faults) serverLink(r *rand.Rand, d time.Duration) error {
	defer f.hit("server", "", time.Now())
	f.link(r, f.world.backends[r.IntN(len(f.world.backends))].proxy, d)
	return nil
}

func (f *faults) serverFault(r *rand.Rand, d time.Duration) error {
	defer f.hit("server", "", time.Now())
	s := f.world.backends[r.IntN(len(f.world.backends))].server
	x := stand.RoutedFaults{}
	share := 0.1 + 0.6*r.Float64()
	for _, set := range [][]*float64{{&x.Hang}, {&x.Break}, {&x.Lose}, {&x.Extra}, {&x.Unframed, &x.Encoded}, {&x.Fail}}[r.IntN(6)] {
		*set = share
	}
	if r.IntN(4) == 0 {
		x = stand.RoutedFaults{Slow: 80 * time.Millisecond}
	}
	s.SetFaults(x)
	time.Sleep(d)
	s.SetFaults(stand.RoutedFaults{})
	return nil
}

func (f *faults) callerLink(r *rand.Rand, d time.Duration) error {
	n := f.node(r)
	defer f.hit("caller", n.name, time.Now())
	f.link(r, f.world.callers[n.caller], d)
	return nil
}

// publish changes the document, with a marker route of its version.
func (f *faults) publish(c *change, edit func(*conf.Document)) error {
	version, at, err := f.world.update(func(d *conf.Document) {
		edit(d)
		v := d.Version + 1
		d.Routes = append(d.Routes, table.Route{
			Name: fmt.Sprint("marker-", v), Host: probeHost, Prefix: markerPath(v), Idempotent: true,
			Targets: []table.Target{{Service: "shop", Weight: 1}}, Timeout: wire.Duration(routeTimeout), MaxAttempts: maxAttempts,
		})
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.version, c.at = version, at
	f.changes = append(f.changes, c)
	return nil
}

func (f *faults) addRoute(*rand.Rand, time.Duration) error {
	return f.publish(&change{}, func(*conf.Document) {})
}

func (f *faults) serverLeaves(r *rand.Rand, d time.Duration) error {
	if !f.changed.TryLock() {
		return nil
	}
	defer f.changed.Unlock()
	b := f.world.backends[r.IntN(len(f.world.backends))]
	entry := conf.BackendServer{Address: b.proxy.address(), FailureDomain: b.domain, Slots: 4, ColdSlots: 1, Connections: 60}
	c := &change{gone: b.id()}
	err := f.publish(c, editService(b.service, func(s *conf.Service) {
		s.Servers = slices.DeleteFunc(s.Servers, func(x conf.BackendServer) bool { return x.Address == entry.Address })
	}))
	if err != nil {
		return err
	}
	time.Sleep(applyTime + d)
	f.ended(c)
	return f.publish(&change{}, editService(b.service, func(s *conf.Service) { s.Servers = append(s.Servers, entry) }))
}

func editService(name string, edit func(*conf.Service)) func(*conf.Document) {
	return func(d *conf.Document) {
		for i := range d.Services {
			if d.Services[i].Name == name {
				edit(&d.Services[i])
			}
		}
	}
}

// ended records that a change is about to be taken back.
func (f *faults) ended(c *change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.back = time.Now()
}

func (f *faults) domainOut(r *rand.Rand, d time.Duration) error {
	if !f.changed.TryLock() {
		return nil
	}
	defer f.changed.Unlock()
	name := domains[r.IntN(len(domains))]
	state := func(s conf.DomainState) func(*conf.Document) {
		return func(d *conf.Document) {
			for i := range d.FailureDomains {
				if d.FailureDomains[i].Name == name {
					d.FailureDomains[i].State = s
				}
			}
		}
	}
	c := &change{out: name}
	if err := f.publish(c, state(conf.DomainOut)); err != nil {
		return err
	}
	time.Sleep(applyTime + d)
	f.ended(c)
	return f.publish(&change{}, state(conf.DomainIn))
}

// disturbed reports whether a fault of one of the kinds was there in a time. With a node only faults that
// hit it count.
func (f *faults) disturbed(node string, from, to time.Time, of ...string) bool {
	for _, w := range f.windows {
		if slices.Contains(of, w.kind) && w.from.Before(to) && w.to.After(from) && (node == "" || w.node == "" || w.node == node) {
			return true
		}
	}
	return false
}
