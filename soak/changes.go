package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// change is a published change of the configuration document.
type change struct {
	version uint64
	at      time.Time
	// removedServer is a server that the change removes from the document, and drainedDomain a failure domain
	// that it sets to out, both until revertedAt; the zero time means that the change is not reverted.
	removedServer, drainedDomain string
	// droppedShard is set if the change removes a shard of the search.
	droppedShard bool
	revertedAt   time.Time
}

// publish edits the document, adds a marker route for its new version, and records the change.
func (f *faultInjector) publish(c *change, edit func(*conf.Document)) error {
	version, at, err := f.world.update(func(d *conf.Document) {
		edit(d)
		v := d.Version + 1
		d.Routes = append(d.Routes, table.Route{
			Name: fmt.Sprint("marker-", v), Host: probeHost, Prefix: markerPath(v), Idempotent: true,
			Targets: []table.Target{{Service: shopService, Weight: 1}}, Timeout: wire.Duration(routeTimeout), MaxAttempts: maxAttempts,
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

func (f *faultInjector) addRoute(*rand.Rand, time.Duration) error {
	return f.publish(&change{}, func(*conf.Document) {})
}

func (f *faultInjector) serverLeaves(r *rand.Rand, d time.Duration) error {
	if !f.removalMu.TryLock() {
		return nil
	}
	defer f.removalMu.Unlock()
	b := f.world.backends[r.IntN(len(f.world.backends))]
	entry := b.entry()
	c := &change{removedServer: b.id()}
	err := f.publish(c, editService(b.service, func(s *conf.Service) {
		s.Servers = slices.DeleteFunc(s.Servers, func(x conf.BackendServer) bool { return x.Address == entry.Address })
	}))
	if err != nil {
		return err
	}
	time.Sleep(applyTime + d)
	f.markReverted(c)
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

// dropShard removes a shard of the search, with its servers, while a node is paused. The node then continues with the
// configuration that it had. It has no server of that shard in its failure domain, and would use a relay.
func (f *faultInjector) dropShard(r *rand.Rand, d time.Duration) error {
	if !f.removalMu.TryLock() {
		return nil
	}
	defer f.removalMu.Unlock()
	n := f.randomNode(r)
	dropped := shardService(len(domains) + (slices.Index(domains, n.domain)+1)%len(domains))
	var route table.Route
	var service conf.Service
	from := time.Now()
	n.signal(syscall.SIGSTOP)
	time.Sleep(minFaultTime)
	c := &change{droppedShard: true}
	err := f.publish(c, func(d *conf.Document) {
		i := slices.IndexFunc(d.Services, func(s conf.Service) bool { return s.Name == dropped })
		service = d.Services[i]
		d.Services = slices.Delete(d.Services, i, i+1)
		i = slices.IndexFunc(d.Routes, func(r table.Route) bool { return r.Name == searchRoute })
		route = d.Routes[i]
		d.Routes[i].Shards = slices.DeleteFunc(slices.Clone(route.Shards), func(s string) bool { return s == dropped })
	})
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
	f.recordWindow("pause", n.name, from)
	if err != nil {
		return err
	}
	time.Sleep(applyTime)
	f.markReverted(c)
	return f.publish(&change{}, func(d *conf.Document) {
		d.Services = append(d.Services, service)
		i := slices.IndexFunc(d.Routes, func(r table.Route) bool { return r.Name == searchRoute })
		d.Routes[i].Shards = route.Shards
	})
}

// markReverted records that a change is about to be reverted.
func (f *faultInjector) markReverted(c *change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.revertedAt = time.Now()
}

func (f *faultInjector) domainOut(r *rand.Rand, d time.Duration) error {
	if !f.removalMu.TryLock() {
		return nil
	}
	defer f.removalMu.Unlock()
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
	c := &change{drainedDomain: name}
	if err := f.publish(c, state(conf.DomainOut)); err != nil {
		return err
	}
	time.Sleep(applyTime + d)
	f.markReverted(c)
	return f.publish(&change{}, state(conf.DomainIn))
}
