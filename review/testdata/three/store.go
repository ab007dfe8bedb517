package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, with the calls that PROTOCOL.md describes.
type store struct {
	address  string
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func startStore() *store {
	s := &store{revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes an item and returns when it is acknowledged.
func (s *store) put(key string, value []byte) {
	s.write(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

func (s *store) putJSON(key string, v any) {
	b, err := json.Marshal(v)
	must(err)
	s.put(key, b)
}

func (s *store) remove(key string) { s.write(storeItem{Key: key, Deleted: true}) }

func (s *store) write(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	if it.Deleted {
		delete(s.items, it.Key)
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 50
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageSize
	if more {
		list = list[:pageSize]
	}
	reply(w, map[string]any{"items": list, "has-more": more, "as-of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		list := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				list = append(list, e)
			}
		}
		s.mu.Unlock()
		if len(list) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		reply(w, map[string]any{"events": list, "as-of": revision})
		return
	}
}
