package stand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Place is a machine of a deployment.
type Place struct{ Zone, IP string }

// Fleet is a small deployment: the store, the nodes and the servers, all on loopback addresses.
type Fleet struct {
	Store   *Store
	Nodes   []*Node
	Servers []*Server
	Record  *Record
	mu      sync.Mutex
	folder  string
	ctx     context.Context
	cancel  context.CancelFunc
}

// Route is a route of the operator's configuration.
type Route map[string]any

// Service returns the configuration of a service.
func Service(name string, connections int) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-connections": connections, "protocol": "h1", "tls": false,
		"cold-start-s": 3.0, "cold-per-s": 0.0,
	}
}

// Configuration returns what the operator writes to op/config.
func Configuration(version int, routes []Route, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000,
		},
	}
}

// NewFleet starts the store.
func NewFleet(record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: NewStore(), Record: record, folder: folder}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	go f.guard()
	return f, nil
}

// maxTime is the time after which a script ends itself. It may take 120 s.
const maxTime = 117 * time.Second

// guard ends all processes when the script is interrupted or takes too long.
func (f *Fleet) guard() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-f.ctx.Done():
		return
	case <-interrupted:
	case <-time.After(maxTime):
	}
	f.Record.Sayf("the case was interrupted or took too long")
	f.Close()
	os.Exit(2)
}

// LoopbackIP returns the loopback address of the machine with the number. Scripts that run at the same time use
// different addresses.
func LoopbackIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, number)
}

// Places returns machines in the zones, as many in each as counts tells.
func Places(zones []string, counts []int) []Place {
	var places []Place
	for i, zone := range zones {
		for range counts[i] {
			places = append(places, Place{Zone: zone, IP: LoopbackIP(len(places) + 1)})
		}
	}
	return places
}

// Main runs a script, which gets the path of its record as its argument, and exits with its result.
func Main(run func(record *Record, trouble bool) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: " + os.Args[0] + " RECORD")
		os.Exit(2)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	code, err := run(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Sayf("the case could not run: %v", err)
		code = 2
	}
	record.Close()
	os.Exit(code)
}

// AddServer starts a server and registers it. Its entry stays as it is, since it changes only when more than the
// sequence changes.
func (f *Fleet) AddServer(c ServerConfig) (*Server, error) {
	s, err := NewServer("127.0.0.1:0", c)
	if err != nil {
		return nil, err
	}
	f.Servers = append(f.Servers, s)
	f.Store.Put("servers/"+s.ID, s.Entry())
	return s, nil
}

// lapseTime is the time after which the entry of a server that is silent is removed.
const lapseTime = 3600 * time.Millisecond

// AddCrashingServer starts a server that starts again at its address, with a new ID, backAfter after each crash.
func (f *Fleet) AddCrashingServer(c ServerConfig, backAfter time.Duration, onCrash func(id string)) error {
	return f.startCrashing("127.0.0.1:0", c, 1, backAfter, onCrash)
}

func (f *Fleet) startCrashing(address string, c ServerConfig, boot int, backAfter time.Duration, onCrash func(id string)) error {
	name := c.ID
	c.ID = fmt.Sprintf("%s-%d", name, boot)
	s, err := NewServer(address, c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.crashed = func() {
		onCrash(c.ID)
		time.AfterFunc(lapseTime, func() { f.Store.Delete("servers/" + c.ID) })
		time.AfterFunc(backAfter, func() {
			if f.ctx.Err() != nil {
				return
			}
			next := c
			next.ID = name
			if err := f.startCrashing(s.listener.Addr().String(), next, boot+1, backAfter, onCrash); err != nil {
				f.Record.Sayf("%s cannot start again: %v", c.ID, err)
			}
		})
	}
	s.mu.Unlock()
	f.mu.Lock()
	f.Servers = append(f.Servers, s)
	f.mu.Unlock()
	f.Store.Put("servers/"+s.ID, s.Entry())
	return nil
}

// Restart stops a node by SIGTERM, by SIGKILL after grace, and starts it again.
func (f *Fleet) Restart(i int, grace time.Duration) error {
	n := f.Nodes[i]
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(grace):
	}
	n.Kill()
	c := n.NodeConfig
	c.FirstStart = false
	next, err := StartNode(c)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.Nodes[i] = next
	f.mu.Unlock()
	return nil
}

// StartNodes starts a node at each place, and waits until all are ready.
func (f *Fleet) StartNodes(program string, places []Place) error {
	var ips, seeds []string
	zones := make(map[string]bool)
	for _, p := range places {
		ips = append(ips, p.IP)
		if !zones[p.Zone] && len(seeds) < 3 {
			zones[p.Zone] = true
			seeds = append(seeds, p.IP)
		}
	}
	ports, err := FreePorts(ips)
	if err != nil {
		return err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return err
	}
	for _, p := range places {
		door, err := f.Store.Open()
		if err != nil {
			return err
		}
		n, err := StartNode(NodeConfig{
			Name: "front-" + p.Zone + "-" + p.IP[strings.LastIndexByte(p.IP, '.')+1:], IP: p.IP, Zone: p.Zone, Region: "mu-island", Ports: ports,
			Seeds: seeds, Store: door, FirstStart: true, Program: program, Folder: f.folder,
		})
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, n)
	}
	for _, n := range f.Nodes {
		if !n.WaitReady(15 * time.Second) {
			return errNotReady
		}
	}
	return nil
}

var errNotReady = errNode("a node is not ready after 15 s")

type errNode string

func (e errNode) Error() string { return string(e) }

// Close ends all processes and servers and removes the temporary folder.
func (f *Fleet) Close() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	f.Store.Close()
	_ = os.RemoveAll(f.folder)
}
