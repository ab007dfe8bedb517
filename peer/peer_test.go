package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/matryer/is"
)

var testKey = []byte("0123456789abcdef")

const eventuallyTimeout = 15 * time.Second

// testNode is a node under test with the document that it has installed.
type testNode struct {
	*Node
	mu  sync.Mutex
	raw []byte
	doc conf.Document
}

func (m *testNode) install(raw []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var doc conf.Document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return err
	}
	if err := m.Install(&doc, fmt.Sprint("hash", doc.Version)); err != nil {
		return err
	}
	m.raw, m.doc = raw, doc
	return nil
}

// startNode runs a node in the failure domain until the test ends. The function change may adjust its Config.
func startNode(t *testing.T, domain string, change func(*Config)) *testNode {
	t.Helper()
	m := &testNode{}
	c := Config{
		Member: fleet.Member{
			Address: netip.MustParseAddrPort("127.0.0.1:0"), FailureDomain: domain,
			Caller: netip.MustParseAddrPort("127.0.0.1:1"),
		},
		Keys: [][]byte{testKey},
		Handlers: Handlers{
			Document: func(uint64, string) (Document, error) {
				m.mu.Lock()
				defer m.mu.Unlock()
				return Document{Version: m.doc.Version, Hash: "x", Body: m.raw}, nil
			},
			InstallDocument: func(d Document) error { return m.install(d.Body) },
		},
	}
	if change != nil {
		change(&c)
	}
	n, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	m.Node = n
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", eventuallyTimeout, what)
}

func vmList(members []*testNode) []wire.VM {
	var vms []wire.VM
	for _, m := range members {
		vms = append(vms, wire.VM{Address: m.Self().Address, Role: wire.RoleEntry, State: wire.VMLive})
	}
	return vms
}

func testDocument(version uint64) []byte {
	raw, _ := json.Marshal(conf.Document{
		Version: version,
		FailureDomains: []conf.FailureDomain{
			{Name: "a", State: conf.DomainIn},
			{Name: "b", State: conf.DomainIn},
			{Name: "c", State: conf.DomainIn},
		},
		Services: []conf.Service{{Name: "ledger"}, {Name: "school"}},
	})
	return raw
}

// A document that is installed on one node must propagate to the others, and each slice must get exactly one lease
// holder on which all nodes agree.
func TestNodesFormFleet(t *testing.T) {
	is := is.New(t)
	var members []*testNode
	for _, d := range []string{"a", "b", "c"} {
		members = append(members, startNode(t, d, nil))
	}
	is.NoErr(members[0].install(testDocument(7)))
	for _, m := range members {
		m.SetVMs(vmList(members))
	}
	eventually(t, "all ready with version 7", func() bool {
		ready := 0
		for _, m := range members {
			if v, _ := m.Version(); v == 7 && m.Ready() {
				ready++
			}
		}
		return ready == len(members)
	})
	for _, service := range []string{"ledger", "school"} {
		eventually(t, "one lease holder of "+service, func() bool {
			var holder fleet.Member
			holders := 0
			for _, m := range members {
				if _, ok := m.Lease(service, 0); ok {
					holder = m.Self()
					holders++
				}
			}
			if holders != 1 {
				return false
			}
			for _, m := range members {
				if h, ok := m.ExpectedHolder(service, 0); !ok || h.Address != holder.Address {
					return false
				}
			}
			return true
		})
	}
}

// readRequest reads one HTTP request and discards its body.
func readRequest(c net.Conn) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// Guards against a panic in the processing of data from a peer that takes the process down.
func TestPanicOfAPull(t *testing.T) {
	var installs atomic.Int32
	a := startNode(t, "a", nil)
	b := startNode(t, "b", func(c *Config) {
		install := c.Handlers.InstallDocument
		c.Handlers.InstallDocument = func(d Document) error {
			if installs.Add(1) <= 2 {
				panic("malformed document")
			}
			return install(d)
		}
	})
	if err := a.install(testDocument(1)); err != nil {
		t.Fatal(err)
	}
	b.SetSeeds([]netip.AddrPort{a.Self().Address})
	eventually(t, "the document is installed after two panics", func() bool {
		version, _ := b.Version()
		return version == 1 && installs.Load() > 2
	})
}
