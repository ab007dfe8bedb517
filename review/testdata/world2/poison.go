package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	poisonHost = "pupu76.example"
	poisonURI  = "/ledger/entry/77"
	// poisonBackAfter is the time after which a crashed server is back, as a new boot at its address.
	poisonBackAfter = 3 * time.Second
	// contactTime is the bound contact-ms of the small deployments.
	contactTime = 4 * time.Second
	// lateRetries is the number of retries that may reach a server later than contactTime after the third crash.
	lateRetries = 3
)

// poisonWorld is a service on a route that is not idempotent, whose servers crash as soon as they begin to run the request
// to poisonURI.
type poisonWorld struct {
	w       *world
	service string
	trouble bool

	mu      sync.Mutex
	boots   int
	crashes []time.Time
	// reached counts the retries that reached a server late.
	reached int
}

// newPoisonWorld starts a server in each of the zones, and one machine in each zone of the deployment.
func newPoisonWorld(w *world, trouble bool, service string, serverZones []string) (*poisonWorld, error) {
	p := &poisonWorld{w: w, service: service, trouble: trouble}
	w.store.put("op/config", newConfig(7, []routeDoc{{
		Name: "r-ledger", Host: poisonHost, Prefix: "/ledger/", RouteType: "unsafe", TimeoutMs: 6000, TargetMs: 400, Priority: 2,
		MaxAttempts: 2, Service: service,
	}}, []serviceDoc{{Name: service, HealthPath: "/healthz", MaxConns: 52, Protocol: "h1", ColdStartS: 3}}))
	for _, z := range serverZones {
		if err := p.start(z, ""); err != nil {
			return nil, err
		}
	}
	f, err := newFleet(w, w.store.address, zones)
	if err != nil {
		return nil, err
	}
	w.fleet = f
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return p, nil
}

// start starts a server as a new boot with a new ID.
func (p *poisonWorld) start(zone, address string) error {
	p.mu.Lock()
	p.boots++
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+p.boots)
	p.mu.Unlock()
	s, err := newServer(p.w, p.service, zone, id, address, p.handle)
	if err != nil {
		return err
	}
	s.slots = 6
	s.register()
	p.w.note("server %s starts at %s in %s", id, s.address, zone)
	return nil
}

func (p *poisonWorld) handle(x *exchange) {
	if !x.readBody() {
		return
	}
	x.begin()
	s := x.server
	if !p.trouble || x.request.RequestURI != poisonURI {
		time.Sleep(5 * time.Millisecond)
		x.answer(http.StatusOK, records(4))
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.w.note("server %s at %s crashes as it begins to run attempt %s, crash %d", s.id, s.address, x.id, len(p.crashes))
	p.mu.Unlock()
	x.ended = true
	s.crash()
	time.AfterFunc(poisonBackAfter, func() {
		p.w.store.remove("servers/" + s.id)
		if err := p.start(s.zone, s.address); err != nil {
			p.w.note("server in %s cannot start again: %v", s.zone, err)
		}
	})
}

// send sends the request once and counts whether it reached a server late.
func (p *poisonWorld) send(front string) outcome {
	a := &attempt{
		id: newID(), host: poisonHost, method: http.MethodPost, uri: poisonURI, body: []byte(`{"entry":77,"pairs":12}`),
		deadline: 6 * time.Second,
	}
	p.mu.Lock()
	late := len(p.crashes) >= 3 && time.Since(p.crashes[2]) > contactTime
	p.mu.Unlock()
	o := once(front, a)
	runs := len(p.w.runsOf(a.id))
	p.w.note("attempt %s, sent at %s to %s: %s, Retry-After %q; %d servers began to run it; late: %t",
		a.id, p.w.since(a.sentAt), front, o, o.header.Get("Retry-After"), runs, late)
	p.mu.Lock()
	defer p.mu.Unlock()
	if late && runs > 0 {
		p.reached++
	}
	return o
}

// verdict returns what broke the rule, or "".
func (p *poisonWorld) verdict() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("%d crashes; %d retries reached a server later than %s after the third", len(p.crashes), p.reached, contactTime)
	p.w.note("%s", text)
	if p.reached > lateRetries {
		return "BUDGET: " + text
	}
	return ""
}

// poison plays a request that crashes each server that begins to run it and comes again every 5 s. The service has one
// server in each zone.
func poison(w *world, trouble bool) (string, error) {
	const (
		pause   = 5 * time.Second
		retries = 15
	)
	p, err := newPoisonWorld(w, trouble, "yard", zones)
	if err != nil {
		return "", err
	}
	for i := range retries {
		fronts, err := w.fleet.resolve(poisonHost, zones[0])
		if err != nil {
			return "", err
		}
		p.send(fronts[i%len(fronts)])
		time.Sleep(pause)
	}
	return p.verdict(), nil
}

// poisonRepeat plays clients that repeat a request that crashes servers three more times at once, and later come again.
// The service has four servers.
func poisonRepeat(w *world, trouble bool) (string, error) {
	const (
		clients = 3
		repeats = 3
		pause   = time.Second
		// maxWait is a third of the time that a client has, up to which it honours Retry-After.
		maxWait = 2 * time.Second
		length  = 25 * time.Second
	)
	p, err := newPoisonWorld(w, trouble, "billing", []string{zones[0], zones[0], zones[1], zones[2]})
	if err != nil {
		return "", err
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for c := range clients {
		front := w.fleet.nodes[c%len(w.fleet.nodes)].front
		group.Go(func() {
			for time.Now().Before(end) {
				wait := pause
				for range 1 + repeats {
					o := p.send(front)
					if o.status == http.StatusOK {
						break
					}
					if s, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64); err == nil {
						wait = min(time.Duration(s*float64(time.Second)), maxWait)
					}
				}
				time.Sleep(wait)
			}
		})
	}
	group.Wait()
	return p.verdict(), nil
}

// resolve asks the directory of the first running node for the addresses of a host.
func (f *fleetOf) resolve(host, zone string) ([]string, error) {
	q := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
	for _, n := range f.nodes {
		r, err := http.Get("http://" + n.ip + ":" + strconv.Itoa(f.ports["directory"]) + "/v1/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var d struct {
			Addresses []string `json:"addrs"`
		}
		err = json.NewDecoder(r.Body).Decode(&d)
		_ = r.Body.Close()
		if err == nil && len(d.Addresses) > 0 {
			return d.Addresses, nil
		}
	}
	return nil, os.ErrNotExist
}
