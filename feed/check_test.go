package feed

import (
	"encoding/json"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// oddServers returns entries that no backend server writes, by the field that is out of bounds.
func oddServers() map[string]*Server {
	odd := make(map[string]*Server)
	for name, change := range map[string]func(*Server){
		"start after year 9999": func(s *Server) { s.StartTime = time.UnixMilli(1 << 60) },
		"start before 1970":     func(s *Server) { s.StartTime = time.Unix(-1, 0) },
		"port 0":                func(s *Server) { s.Address = netip.MustParseAddrPort("127.0.0.1:0") },
		"unspecified address":   func(s *Server) { s.Address = netip.MustParseAddrPort("0.0.0.0:80") },
		"multicast address":     func(s *Server) { s.Address = netip.MustParseAddrPort("224.0.0.1:80") },
		"IPv6 zone":             func(s *Server) { s.Address = netip.MustParseAddrPort("[fe80::1%eth0]:80") },
		"no address":            func(s *Server) { s.Address = netip.AddrPort{} },
		"too many slots":        func(s *Server) { s.Slots = math.MaxInt },
		"no slots":              func(s *Server) { s.Slots = 0 },
		"cold for years":        func(s *Server) { s.Cold = wire.Duration(math.MaxInt64) },
		"negative cold time":    func(s *Server) { s.Cold = -1 },
		"line end in ID":        func(s *Server) { s.ID = "a\r\nHost: b" },
		"ID is not UTF-8":       func(s *Server) { s.ID = "a\xff" },
		"long service":          func(s *Server) { s.Service = strings.Repeat("s", maxNameBytes+1) },
		"no failure domain":     func(s *Server) { s.FailureDomain = "" },
	} {
		s := server("odd")
		change(s)
		odd[name] = s
	}
	return odd
}

// Guards against one odd entry that a node cannot pass on, so that the nodes that depend on it stop following the list,
// and against an odd entry that is used as a server.
func TestOddEntryCostsOnlyItself(t *testing.T) {
	t.Parallel()
	for name, odd := range oddServers() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			apply(t, s, 0, Delta{To: 3, Full: true, Changes: []Change{
				{Revision: 1, Server: server("a")}, {Revision: 2, Server: odd}, {Revision: 3, Server: server("b")},
			}})
			apply(t, s, 0, Delta{From: 3, To: 4, Changes: []Change{{Revision: 4, Server: odd}}})
			is.Equal(ids(s.View(epoch)), []string{"a", "b"})
			for _, after := range []Revision{0, 3} {
				b, err := json.Marshal(s.Since(Position{Revision: after}))
				is.NoErr(err)
				var d Delta
				is.NoErr(json.Unmarshal(b, &d))
			}
		})
	}
}

// Guards against a server that stays in use, or is dropped by a later restart, when its entry becomes odd for a while.
func TestOddEntryTakesItsServerOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	apply(t, s, 0, Delta{To: 1, Full: true, Changes: []Change{{Revision: 1, Server: server("a")}}})
	odd := server("a")
	odd.Slots = -1
	apply(t, s, 0, Delta{From: 1, To: 2, Changes: []Change{{Revision: 2, Server: odd}}})
	is.Equal(len(s.View(epoch).Servers), 0)
	apply(t, s, 0, Delta{From: 2, To: 3, Changes: []Change{{Revision: 3, Server: server("a")}}})
	is.Equal(ids(s.View(epoch)), []string{"a"})
}
