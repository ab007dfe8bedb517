package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// defaultTime is the length of the schedule of faults.
	defaultTime = 25 * time.Second
	defaultSeed = 1
	// objective is the bound for a domain that is out and for a configuration at 9 nodes.
	objective = 2 * time.Second
)

func settings(t *testing.T) (time.Duration, uint64) {
	t.Helper()
	length, seed := defaultTime, uint64(defaultSeed)
	var err error
	if s := os.Getenv("ARBUTUSTHREAD_PROOF_TIME"); s != "" {
		length, err = time.ParseDuration(s)
		is.New(t).NoErr(err)
	}
	if s := os.Getenv("ARBUTUSTHREAD_PROOF_SEED"); s != "" {
		seed, err = strconv.ParseUint(s, 10, 64)
		is.New(t).NoErr(err)
	}
	return length, seed
}

// schedule disturbs a fleet. Each kind of fault has its own source of randomness.
type schedule struct {
	*fleet
	versions *history
	end      time.Time
	seed     uint64

	mu    sync.Mutex
	kills []time.Time
	outs  []outage
	count map[string]int
}

// outage is a time for which a failure domain was out.
type outage struct {
	domain    string
	from, end time.Time
}

func (s *schedule) note(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[fault]++
}

// repeat runs faults one after another until the end of the schedule.
func (s *schedule) repeat(stream uint64, fault func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.seed, stream))
	for time.Now().Before(s.end) {
		time.Sleep(between(random, 300*time.Millisecond, 1500*time.Millisecond))
		fault(random)
	}
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// disturbNode kills a node and starts it again, or stops and continues it.
func (s *schedule) disturbNode(r *rand.Rand) {
	p := s.nodes[r.IntN(len(s.nodes))]
	if r.IntN(2) == 0 {
		s.note("pause")
		p.signal(syscall.SIGSTOP)
		time.Sleep(between(r, time.Second, 5*time.Second))
		p.signal(syscall.SIGCONT)
		return
	}
	s.note("kill")
	s.mu.Lock()
	s.kills = append(s.kills, time.Now())
	s.mu.Unlock()
	p.kill()
	time.Sleep(between(r, 100*time.Millisecond, 3*time.Second))
	s.start(p)
	time.Sleep(between(r, 0, 2*time.Second))
}

// disturbPlatform makes the platform down or stale, publishes presets, and takes a domain out.
func (s *schedule) disturbPlatform(r *rand.Rand) {
	presets := []string{"ordinary", "peak", "maintenance"}
	switch r.IntN(4) {
	case 0:
		s.note("platform down")
		request("POST", s.platform, "/v1/faults", stand.PlatformFaults{Down: true}, nil)
		time.Sleep(between(r, time.Second, 3*time.Second))
	case 1:
		s.note("platform stale")
		request("POST", s.platform, "/v1/faults", stand.PlatformFaults{Stale: max(1, s.version()-1)}, nil)
		time.Sleep(between(r, time.Second, 3*time.Second))
	case 2:
		s.note("preset")
		s.publish(func(d *conf.Document) { d.Preset = presets[r.IntN(3)] })
	default:
		s.note("domain out")
		o := outage{domain: domains[r.IntN(3)]}
		s.setDomain(o.domain, conf.DomainOut)
		o.from = time.Now()
		time.Sleep(objective + between(r, time.Second, 2*time.Second))
		o.end = time.Now()
		s.setDomain(o.domain, conf.DomainIn)
		s.mu.Lock()
		s.outs = append(s.outs, o)
		s.mu.Unlock()
	}
	request("POST", s.platform, "/v1/faults", stand.PlatformFaults{}, nil)
}

// disturbServers makes the connections of a server silent, makes it shed, or crashes it. Half of the
// time it is one of the service with the most requests.
func (s *schedule) disturbServers(r *rand.Rand) {
	all := s.servers("")
	a := all[r.IntN(len(all)/(1+2*r.IntN(2)))]
	switch r.IntN(3) {
	case 0:
		s.note("silent connections")
		request("POST", a, "/v1/faults", stand.ServerFaults{SilentAfter: 10 + r.IntN(40)}, nil)
		time.Sleep(between(r, time.Second, 2*time.Second))
	case 1:
		s.note("shed and wrong answers")
		request("POST", a, "/v1/faults", stand.ServerFaults{Shed: 0.2, WrongRequest: 0.1, Truncate: 0.1, Slow: 2}, nil)
		time.Sleep(between(r, time.Second, 2*time.Second))
	default:
		s.note("server crash")
		request("POST", a, "/v1/faults", stand.ServerFaults{CrashMark: "-"}, nil)
		time.Sleep(between(r, 100*time.Millisecond, 250*time.Millisecond)) // less than the restart takes
	}
	// A server that is restarting takes no request, and would keep its faults for good.
	for end := time.Now().Add(clearTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if request("POST", a, "/v1/faults", stand.ServerFaults{}, nil) {
			return
		}
	}
	s.t.Errorf("faults of %s were not taken back within %v", a, clearTime)
}

// clearTime is far above the 300 ms that a server takes to restart.
const clearTime = 10 * time.Second

// watch reads the status of a node all the time, for the history of versions.
func (s *schedule) watch(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		begin, life := time.Now(), p.lifeName()
		v, ok := s.status(p)
		if ok && life == p.lifeName() && v.Version > 0 {
			s.versions.add(begin, seen{life, v.Version})
			s.fleet.mu.Lock()
			want := s.presets[v.Version]
			s.fleet.mu.Unlock()
			if v.Preset != want {
				s.t.Errorf("%s: preset %q of version %d, want %q", p.name, v.Preset, v.Version, want)
			}
		}
		pause(ctx, 20*time.Millisecond)
	}
}

func (s *schedule) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var watches, faults sync.WaitGroup
	for _, p := range s.nodes {
		watches.Go(func() { s.watch(ctx, p) })
	}
	for i, f := range []func(*rand.Rand){s.disturbNode, s.disturbPlatform, s.disturbServers} {
		faults.Go(func() { s.repeat(uint64(i), f) })
	}
	faults.Wait()
	defer s.logViews()
	s.until("all nodes settled after the faults", s.settled)
	cancel()
	watches.Wait()
}

// Guards against a broken invariant in a fleet of processes that are killed, paused and restarted
// while the platform, the servers and the failure domains fail as well.
func TestFleetUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	length, seed := settings(t)
	f := startFleet(t, 6, stand.Layout{Services: 3, Servers: 6, Replicas: 3, Slots: 6, ColdSlots: 1})
	c := f.callers(seed, 16, 4)
	s := &schedule{fleet: f, versions: newHistory(), end: time.Now().Add(length), seed: seed, count: map[string]int{}}
	s.run()
	after := time.Now()
	time.Sleep(time.Second) // answers of all services after the faults
	c.stop()
	c.settle()
	records := map[string]stand.Record{}
	for _, a := range f.servers("") {
		records[a.String()] = f.record(a)
	}
	doubled := c.reconcile(records)
	c.orders.check(t, "orders", orderModel)
	s.versions.check(t, "versions", versionModel)
	is.Equal(c.wrong, nil)
	s.checkOut(records)
	phases, most := checkCold(t, records)
	var reads stand.Reads
	is.True(f.get(f.platform, "/v1/reads", &reads))
	is.Equal(reads.Limited, uint64(0))
	for service, times := range c.answers {
		if !times[len(times)-1].After(after) {
			t.Errorf("%s is not answered after the faults", service)
		}
	}
	var gaps []string
	for _, k := range s.kills {
		gaps = append(gaps, c.longestGap(k, 3*time.Second).Round(10*time.Millisecond).String())
	}
	table(t, [][]string{
		{"seed, length, faults", fmt.Sprint(seed, " ", length, " ", s.count)},
		{"queries: sent, answered, refused", fmt.Sprint(c.queries, " ", c.answered, " ", c.refused)},
		{"orders: answered, refused, unknown, doubled", fmt.Sprint(c.count(wire.Answered), " ", c.count(wire.Refused), " ", c.count(wire.Unknown), " ", doubled)},
		{"longest time without answers of a service after each kill", strings.Join(gaps, " ")},
		{"platform: reads, busiest second", fmt.Sprint(reads.Total, " ", reads.MostInSecond)},
		{"restarts of servers, most requests at once in a cold start", fmt.Sprint(phases, " ", most)},
		{"versions published", fmt.Sprint(f.version())},
		{"CPU, memory of each node", f.usages()},
	})
}

// checkOut looks for work that began in a domain more than the objective after it was out.
func (s *schedule) checkOut(records map[string]stand.Record) {
	for _, o := range s.outs {
		for _, a := range s.servers(o.domain) {
			for _, r := range records[a.String()].Shards {
				if r.At.After(o.from.Add(objective)) && r.At.Before(o.end) {
					s.t.Errorf("%s in %s began work %v after the domain was out", a, o.domain, r.At.Sub(o.from))
					break
				}
			}
		}
	}
}

// checkCold looks for requests above what a restarted server bore. It returns the number of cold
// phases and the most requests at once in one.
func checkCold(t *testing.T, records map[string]stand.Record) (phases, most int) {
	t.Helper()
	for a, r := range records {
		for _, c := range r.Cold {
			phases++
			most = max(most, c.MostAtOnce)
			if c.Cause == stand.ColdStart && c.Over > 0 {
				t.Errorf("%s: %d requests above what the restarted server bore, %d of %d at once, the last %v after the start",
					a, c.Over, c.MostAtOnce, c.Bears, c.LastOver.Sub(c.From))
			}
		}
	}
	return phases, most
}

func (f *fleet) usages() string {
	var list []string
	for _, p := range f.nodes {
		cpu, memory := p.usage()
		share := 100 * cpu.Seconds() / time.Since(p.begun).Seconds()
		list = append(list, fmt.Sprintf("%s %.1f%% %d MB", p.name, share, memory>>20))
	}
	return strings.Join(list, ", ")
}

func table(t *testing.T, rows [][]string) {
	t.Helper()
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
	t.Log("\n" + b.String())
}
