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
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// defaultFaultTime is how long faults are injected by default.
	defaultFaultTime = 25 * time.Second
	defaultSeed      = 1
	// convergenceObjective is the time limit for draining a failure domain and for propagating a configuration
	// change to 9 nodes.
	convergenceObjective = 2 * time.Second
)

func settings(t *testing.T) (time.Duration, uint64) {
	t.Helper()
	length, seed := defaultFaultTime, uint64(defaultSeed)
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

// schedule injects faults into a fleet. Each kind of fault has a separate random source.
type schedule struct {
	*fleet
	versions *history
	end      time.Time
	seed     uint64

	mu          sync.Mutex
	kills       []time.Time
	outages     []outage
	faultCounts map[string]int
}

// outage is the time interval during which a failure domain was out.
type outage struct {
	domain    string
	from, end time.Time
}

func (s *schedule) countFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCounts[fault]++
}

// repeat injects faults sequentially until the end of the schedule.
func (s *schedule) repeat(stream uint64, fault func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.seed, stream))
	for time.Now().Before(s.end) {
		time.Sleep(randomDuration(random, 300*time.Millisecond, 1500*time.Millisecond))
		fault(random)
	}
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// injectNodeFault kills and restarts a node, or pauses and resumes it.
func (s *schedule) injectNodeFault(r *rand.Rand) {
	p := s.nodes[r.IntN(len(s.nodes))]
	if r.IntN(2) == 0 {
		s.countFault("pause")
		p.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(r, time.Second, 5*time.Second))
		p.signal(syscall.SIGCONT)
		return
	}
	s.countFault("kill")
	s.mu.Lock()
	s.kills = append(s.kills, time.Now())
	s.mu.Unlock()
	p.kill()
	time.Sleep(randomDuration(r, 100*time.Millisecond, 3*time.Second))
	s.start(p)
	time.Sleep(randomDuration(r, 0, 2*time.Second))
}

// injectPlatformFault makes the platform unavailable or stale, publishes a preset, or sets a failure domain to out.
func (s *schedule) injectPlatformFault(r *rand.Rand) {
	presets := []string{"ordinary", "peak", "maintenance"}
	switch r.IntN(4) {
	case 0:
		s.countFault("platform down")
		request("POST", s.platform, "/v1/faults", fake.PlatformFaults{Down: true}, nil)
		time.Sleep(randomDuration(r, time.Second, 3*time.Second))
	case 1:
		s.countFault("platform stale")
		request("POST", s.platform, "/v1/faults", fake.PlatformFaults{Stale: max(1, s.version()-1)}, nil)
		time.Sleep(randomDuration(r, time.Second, 3*time.Second))
	case 2:
		s.countFault("preset")
		s.publish(func(d *conf.Document) { d.Preset = presets[r.IntN(3)] })
	default:
		s.countFault("domain out")
		o := outage{domain: domains[r.IntN(3)]}
		s.setDomain(o.domain, conf.DomainOut)
		o.from = time.Now()
		time.Sleep(convergenceObjective + randomDuration(r, time.Second, 2*time.Second))
		o.end = time.Now()
		s.setDomain(o.domain, conf.DomainIn)
		s.mu.Lock()
		s.outages = append(s.outages, o)
		s.mu.Unlock()
	}
	request("POST", s.platform, "/v1/faults", fake.PlatformFaults{}, nil)
}

// injectServerFault silences the connections of a server, makes it shed requests and return wrong answers, or
// crashes it. Half of the time the server is drawn from the service with the most requests.
func (s *schedule) injectServerFault(r *rand.Rand) {
	all := s.servers("")
	a := all[r.IntN(len(all)/(1+2*r.IntN(2)))]
	switch r.IntN(3) {
	case 0:
		s.countFault("silent connections")
		request("POST", a, "/v1/faults", fake.ServerFaults{SilentAfter: 10 + r.IntN(40)}, nil)
		time.Sleep(randomDuration(r, time.Second, 2*time.Second))
	case 1:
		s.countFault("shed and wrong answers")
		request("POST", a, "/v1/faults", fake.ServerFaults{Shed: 0.2, WrongRequest: 0.1, Truncate: 0.1, Slow: 2}, nil)
		time.Sleep(randomDuration(r, time.Second, 2*time.Second))
	default:
		s.countFault("server crash")
		request("POST", a, "/v1/faults", fake.ServerFaults{CrashMark: "-"}, nil)
		time.Sleep(randomDuration(r, 100*time.Millisecond, 250*time.Millisecond)) // shorter than a restart
	}
	// A restarting server accepts no requests, so without retries its faults would never be cleared.
	for end := time.Now().Add(clearFaultsTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if request("POST", a, "/v1/faults", fake.ServerFaults{}, nil) {
			return
		}
	}
	s.t.Errorf("faults of %s were not cleared within %v", a, clearFaultsTimeout)
}

// clearFaultsTimeout limits how long to retry clearing faults; it is far above the restart time of a server, 300 ms.
const clearFaultsTimeout = 10 * time.Second

// watchVersions polls the status of a node every 20 ms and records its configuration versions.
func (s *schedule) watchVersions(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		begin, incarnation := time.Now(), p.incarnationID()
		v, ok := s.status(p)
		if ok && incarnation == p.incarnationID() && v.Version > 0 {
			s.versions.add(begin, versionObservation{incarnation, v.Version})
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
		watches.Go(func() { s.watchVersions(ctx, p) })
	}
	for i, f := range []func(*rand.Rand){s.injectNodeFault, s.injectPlatformFault, s.injectServerFault} {
		faults.Go(func() { s.repeat(uint64(i), f) })
	}
	faults.Wait()
	defer s.logNodeStatus()
	s.waitUntil("all nodes settled after the faults", s.converged)
	cancel()
	watches.Wait()
}

// Guards against violated invariants in a fleet of processes that are killed, paused and restarted while the
// platform, the servers and the failure domains fail as well.
func TestFleetUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	length, seed := settings(t)
	f := startFleet(t, 6, fake.Layout{Services: 3, Servers: 6, Replicas: 3, Slots: 6, ColdSlots: 1})
	c := f.callers(seed, 16, 4)
	s := &schedule{fleet: f, versions: newHistory(), end: time.Now().Add(length), seed: seed, faultCounts: map[string]int{}}
	s.run()
	after := time.Now()
	time.Sleep(time.Second) // collect answers from all services after the faults
	c.stop()
	c.resolveUnknown()
	records := map[string]fake.Record{}
	for _, a := range f.servers("") {
		records[a.String()] = f.record(a)
	}
	doubled := c.reconcile(records)
	c.orders.check(t, "orders", orderModel)
	s.versions.check(t, "versions", versionModel)
	is.Equal(c.wrongAnswers, nil)
	s.checkOutages(records)
	phases, maxConcurrent := checkCold(t, records)
	var reads fake.Reads
	is.True(f.get(f.platform, "/v1/reads", &reads))
	is.Equal(reads.Limited, uint64(0))
	for service, times := range c.answers {
		if !times[len(times)-1].After(after) {
			t.Errorf("%s is not answered after the faults", service)
		}
	}
	var gaps []string
	for _, k := range s.kills {
		gaps = append(gaps, c.longestAnswerGap(k, 3*time.Second).Round(10*time.Millisecond).String())
	}
	logTable(t, [][]string{
		{"seed, length, faults", fmt.Sprint(seed, " ", length, " ", s.faultCounts)},
		{"queries: sent, answered, refused", fmt.Sprint(c.queries, " ", c.answered, " ", c.refused)},
		{"orders: answered, refused, unknown, doubled", fmt.Sprint(c.count(wire.Answered), " ", c.count(wire.Refused), " ", c.count(wire.Unknown), " ", doubled)},
		{"longest time without answers of a service after each kill", strings.Join(gaps, " ")},
		{"platform: reads, busiest second", fmt.Sprint(reads.Total, " ", reads.MaxPerSecond)},
		{"restarts of servers, most requests at once in a cold start", fmt.Sprint(phases, " ", maxConcurrent)},
		{"versions published", fmt.Sprint(f.version())},
		{"CPU, memory of each node", f.resourceUsage()},
	})
}

// checkOutages reports work that began in a failure domain later than convergenceObjective after it was set to out.
func (s *schedule) checkOutages(records map[string]fake.Record) {
	for _, o := range s.outages {
		for _, a := range s.servers(o.domain) {
			for _, r := range records[a.String()].Shards {
				if r.At.After(o.from.Add(convergenceObjective)) && r.At.Before(o.end) {
					s.t.Errorf("%s in %s began work %v after the domain was out", a, o.domain, r.At.Sub(o.from))
					break
				}
			}
		}
	}
}

// checkCold reports requests above the concurrency limit of a restarted server. It returns the number of cold
// phases and the highest number of concurrent requests in any of them.
func checkCold(t *testing.T, records map[string]fake.Record) (phases, maxConcurrent int) {
	t.Helper()
	for a, r := range records {
		for _, c := range r.Cold {
			phases++
			maxConcurrent = max(maxConcurrent, c.MaxConcurrent)
			if c.Cause == fake.ColdStart && c.OverLimit > 0 {
				t.Errorf("%s: %d requests above the limit of the restarted server, %d concurrent with a limit of %d, the last %v after the start",
					a, c.OverLimit, c.MaxConcurrent, c.ConcurrencyLimit, c.LastOverLimit.Sub(c.From))
			}
		}
	}
	return phases, maxConcurrent
}

func (f *fleet) resourceUsage() string {
	var list []string
	for _, p := range f.nodes {
		cpu, memory := p.usage()
		share := 100 * cpu.Seconds() / time.Since(p.startedAt).Seconds()
		list = append(list, fmt.Sprintf("%s %.1f%% %d MB", p.name, share, memory>>20))
	}
	return strings.Join(list, ", ")
}

func logTable(t *testing.T, rows [][]string) {
	t.Helper()
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
	t.Log("\n" + b.String())
}
