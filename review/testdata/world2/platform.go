package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: items with revisions, ranges and watches.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]storeItem
	events   []storeItem
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore(address string) (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 100, items: make(map[string]storeItem)}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes an item as JSON and returns its revision.
func (s *store) put(key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.revision, Created: created}
	s.items[key] = it
	s.append(it)
	return it.Revision
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(it storeItem) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as-of": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"as-of"`
	}{it, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": list, "has-more": false, "as-of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []storeItem{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				list = append(list, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": list, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": list, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// routeDoc, serviceDoc and configDoc are the operator's configuration as the store holds it.
type routeDoc struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	RouteType   string   `json:"route-type"`
	TimeoutMs   int      `json:"timeout-ms"`
	TargetMs    int      `json:"target-latency-ms"`
	Priority    int      `json:"priority"`
	MaxAttempts int      `json:"max-attempts"`
	Service     string   `json:"service,omitempty"`
	Gather      []string `json:"gather,omitempty"`
	TopK        int      `json:"top-k,omitempty"`
	MinCoverage float64  `json:"min-coverage,omitempty"`
}

type serviceDoc struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health-path"`
	MaxConns   int     `json:"max-connections"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"cold-start-s"`
	ColdPerS   float64 `json:"cold-per-s"`
}

type configDoc struct {
	Version  uint64       `json:"version"`
	Routes   []routeDoc   `json:"routes"`
	Services []serviceDoc `json:"services"`
	Limits   struct {
		HeaderBytes int `json:"max-header-bytes"`
		BodyBytes   int `json:"max-body-bytes"`
		HeaderMs    int `json:"header-timeout-ms"`
		IdleMs      int `json:"idle-timeout-ms"`
	} `json:"limits"`
}

func newConfig(version uint64, routes []routeDoc, services []serviceDoc) configDoc {
	c := configDoc{Version: version, Routes: routes, Services: services}
	c.Limits.HeaderBytes, c.Limits.BodyBytes = 16384, 262144
	c.Limits.HeaderMs, c.Limits.IdleMs = 3000, 15000
	return c
}

// beatDoc is the entry that a server writes about itself.
type beatDoc struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMs   int    `json:"cold-remaining-ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}
