package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/serve"
	"github.com/arbutusthread/arbutusthread/wire"
)

var domains = []string{"Lukang", "Yilan", "Chiayi"}

// process is a child process of the test.
type process struct {
	name   string
	domain string
	args   []string
	peer   netip.AddrPort
	caller netip.AddrPort
	ops    netip.AddrPort

	mu          sync.Mutex
	command     *exec.Cmd
	log         bytes.Buffer
	startedAt   time.Time
	incarnation int
}

// fleet is one standin process and its nodes, on loopback addresses that no other fleet uses.
type fleet struct {
	t        *testing.T
	binary   string
	dir      string
	network  int
	platform netip.AddrPort
	standin  *process
	nodes    []*process

	mu       sync.Mutex
	document *conf.Document
	// presets holds the preset of each published version.
	presets map[uint64]string
}

var (
	buildMu  sync.Mutex
	networks int
)

// startFleet builds the binary, starts the stand-ins and the nodes, and waits until all nodes have converged.
func startFleet(t *testing.T, count int, layout fake.Layout) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), presets: map[uint64]string{1: "ordinary"}}
	f.binary = filepath.Join(f.dir, "arbutusthread")
	buildMu.Lock()
	networks++
	f.network = networks
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", f.binary, "..").CombinedOutput()
	buildMu.Unlock()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f.platform = f.address(10, 7300)
	f.document = layout.Document()
	f.assignServerAddresses()
	args := []string{"standin", "--config", f.write("document.json", f.document), "--platform", f.platform.String(), "--latency", "10ms"}
	for i := range count {
		args = append(args, "--node", domains[i%3]+"="+f.address(i+1, 7100).String())
	}
	f.standin = &process{name: "standin", args: args}
	f.start(f.standin)
	f.waitUntil("the platform", func() bool { return f.get(f.platform, "/v1/reads", nil) })
	for i := range count {
		f.addNode(i)
	}
	f.waitUntil("all nodes ready, a lease holder for each slice", f.converged)
	return f
}

// address returns an address in a loopback network specific to this test process, in which each fleet has 20
// hosts. The ports of nodes can therefore be fixed without conflicts with other sockets.
func (f *fleet) address(host int, port uint16) netip.AddrPort {
	pid := os.Getpid()
	network := [4]byte{127, byte(64 + pid/250%128), byte(pid % 250), byte(host + 20*(f.network-1)%240)}
	return netip.AddrPortFrom(netip.AddrFrom4(network), port)
}

// assignServerAddresses replaces the addresses of the servers in the document by addresses of the fleet.
func (f *fleet) assignServerAddresses() {
	moved := map[netip.AddrPort]netip.AddrPort{}
	for i := range f.document.Services {
		v := &f.document.Services[i]
		for k := range v.Servers {
			moved[v.Servers[k].Address] = f.address(11, uint16(8000+len(moved)))
			v.Servers[k].Address = moved[v.Servers[k].Address]
		}
		for _, x := range v.Indexes {
			for _, s := range x.Shards {
				for k := range s.Servers {
					s.Servers[k] = moved[s.Servers[k]]
				}
			}
		}
	}
}

func (f *fleet) write(name string, v any) string {
	f.t.Helper()
	raw, err := json.Marshal(v)
	is.New(f.t).NoErr(err)
	path := filepath.Join(f.dir, name)
	is.New(f.t).NoErr(os.WriteFile(path, raw, 0o600))
	return path
}

func (f *fleet) addNode(i int) {
	p := &process{
		name: fmt.Sprintf("entry-%d", i+1), domain: domains[i%3],
		caller: f.address(i+1, 7000), peer: f.address(i+1, 7100), ops: f.address(i+1, 7200),
	}
	none := 0.0
	s := conf.Settings{
		Name: p.name, FailureDomain: p.domain, Region: "proof", CallerAddress: p.caller, PeerAddress: p.peer, OpsAddress: p.ops,
		Platform: "http://" + f.platform.String(), FleetKeys: []string{"000102030405060708090a0b0c0d0e0f"},
		AddressTTL: wire.Duration(time.Second), Log: conf.Log{Level: "ERROR", DecisionSample: &none},
	}
	p.args = []string{"serve", "--settings", f.write(p.name+".json", s)}
	f.nodes = append(f.nodes, p)
	f.start(p)
}

// start starts the process. It is killed when the test ends.
func (f *fleet) start(p *process) {
	f.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.CommandContext(context.WithoutCancel(f.t.Context()), f.binary, p.args...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.startedAt = time.Now()
	p.incarnation++
	if p.incarnation == 1 {
		f.t.Cleanup(func() {
			p.kill()
			if f.t.Failed() {
				f.t.Logf("last lines of %s:\n%s", p.name, tail(p.log.String(), 2000))
			}
		})
	}
}

func tail(s string, size int) string { return s[max(0, len(s)-size):] }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// incarnationID identifies the current incarnation of the node in histories.
func (p *process) incarnationID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s#%d", p.name, p.incarnation)
}

var client = &http.Client{Timeout: 2 * time.Second}

// get decodes the JSON response into v and reports whether the request succeeded.
func (f *fleet) get(a netip.AddrPort, path string, v any) bool {
	return request(http.MethodGet, a, path, nil, v)
}

func request(method string, a netip.AddrPort, path string, body, v any) bool {
	raw, _ := json.Marshal(body)
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+a.String()+path, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	r, err := client.Do(q)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	got, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	return v == nil || json.Unmarshal(got, v) == nil
}

func (f *fleet) status(p *process) (s serve.Status, ok bool) {
	ok = f.get(p.ops, "/ops/status", &s)
	return s, ok
}

// waitUntil waits for a condition and fails the test if it does not become true within 30 s.
func (f *fleet) waitUntil(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("not within 30 s: %s", what)
}

// converged reports whether all nodes are ready with the newest document and each service has a lease holder.
func (f *fleet) converged() bool {
	held := 0
	for _, p := range f.nodes {
		s, ok := f.status(p)
		if !ok || !s.Ready || s.Version != f.version() {
			return false
		}
		held += len(s.Slices)
	}
	return held == len(f.document.Services)
}

// logNodeStatus logs the status of each node if the test failed, to distinguish a late configuration version from
// a slice without a lease holder.
func (f *fleet) logNodeStatus() {
	if !f.t.Failed() {
		return
	}
	f.t.Logf("published version %d, %d services", f.version(), len(f.document.Services))
	for _, p := range f.nodes {
		s, ok := f.status(p)
		f.t.Logf("%s answers %v, ready %v, version %d, slices %v, members %v", p.name, ok, s.Ready, s.Version, s.Slices, s.Members)
	}
}

func (f *fleet) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document.Version
}

// publish changes the document, increments its version and publishes it.
func (f *fleet) publish(change func(*conf.Document)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := *f.document
	d.FailureDomains = slices.Clone(d.FailureDomains)
	change(&d)
	d.Version++
	f.presets[d.Version] = d.Preset
	f.document = &d
	if !request(http.MethodPut, f.platform, "/v1/config", &d, nil) {
		f.t.Errorf("version %d was not published", d.Version)
	}
}

func (f *fleet) setDomain(name string, state conf.DomainState) {
	f.publish(func(d *conf.Document) {
		for i := range d.FailureDomains {
			if d.FailureDomains[i].Name == name {
				d.FailureDomains[i].State = state
			}
		}
	})
}

// servers returns the addresses of the backend servers in a failure domain, or of all if domain is empty.
func (f *fleet) servers(domain string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, v := range f.document.Services {
		for _, b := range v.Servers {
			if domain == "" || b.FailureDomain == domain {
				list = append(list, b.Address)
			}
		}
	}
	return list
}

func (f *fleet) record(a netip.AddrPort) fake.Record {
	var r fake.Record
	f.waitUntil("the record of "+a.String(), func() bool { return f.get(a, "/v1/record", &r) })
	return r
}

func (f *fleet) client(seed uint64) *call.Client {
	c := call.Config{Key: fake.CallerKey, Seed: seed, MaxAttempts: 100, Timeout: 10 * time.Second}
	for _, p := range f.nodes {
		c.Seeds = append(c.Seeds, p.caller)
	}
	k, err := call.New(c)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(k.Close)
	return k
}

// usage returns the CPU time and the resident memory in bytes of the process.
func (p *process) usage() (cpu time.Duration, memory int) {
	const tick, page = 10 * time.Millisecond, 4096 // USER_HZ and page size on Linux
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var user, system, pages int
	if len(fields) > 21 {
		_, _ = fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages)
	}
	return time.Duration(user+system) * tick, pages * page
}
