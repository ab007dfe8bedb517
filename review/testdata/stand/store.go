// Package stand holds the stand-ins of the review's scripts: the platform's store, backend servers, callers, and the
// start of the project's node processes.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Item is an entry of the store, or a change of one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type event struct {
	Item
	at time.Time
}

// Store is the platform's metadata store. It is linearizable, keeps its history for historyTime and answers each read.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	events   []event
	dropped  uint64
	changed  chan struct{}
	doors    []*Door
}

// Door is an address of the store. Each node has its own, so that the store can turn single machines away.
type Door struct {
	Address string
	// Silent makes the store take the calls of the machine and not answer them.
	Silent  atomic.Bool
	watches atomic.Int64
	http    *http.Server
}

// Watches returns the number of watches that were called at the door.
func (d *Door) Watches() int64 { return d.watches.Load() }

const (
	historyTime = 20 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
)

// NewStore returns a store without entries.
func NewStore() *Store {
	return &Store{revision: 100, dropped: 100, items: make(map[string]Item), changed: make(chan struct{})}
}

// Open opens an address of the store.
func (s *Store) Open() (*Door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: l.Addr().String()}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) { s.key(d, w, r) })
	m.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(d, w, r) })
	m.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(d, w, r) })
	d.http = &http.Server{Handler: m}
	s.doors = append(s.doors, d)
	go func() { _ = d.http.Serve(l) }()
	return d, nil
}

// Close ends the store.
func (s *Store) Close() {
	for _, d := range s.doors {
		_ = d.http.Close()
	}
}

// Put writes an entry and returns the time of its acknowledgement.
func (s *Store) Put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
	return time.Now()
}

// Delete removes an entry and returns the time of its acknowledgement.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.add(Item{Key: key, Revision: s.revision, Deleted: true})
	}
	return time.Now()
}

func (s *Store) add(it Item) {
	now := time.Now()
	s.events = append(s.events, event{it, now})
	s.dropOld(now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropOld drops the history that is older than historyTime.
func (s *Store) dropOld(now time.Time) {
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > historyTime {
		s.dropped = s.events[n].Revision
		n++
	}
	if n > 0 {
		s.events = append(s.events[:0:0], s.events[n:]...)
	}
}

func (d *Door) reply(w http.ResponseWriter, r *http.Request, status int, v any) {
	if d.Silent.Load() {
		<-r.Context().Done()
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) key(d *Door, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		d.reply(w, r, http.StatusNotFound, nil)
		return
	}
	d.reply(w, r, http.StatusOK, it)
}

func (s *Store) list(d *Door, w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []Item{}, 0, false
	for _, k := range keys {
		it := s.items[k]
		if len(items) >= pageItems || len(items) > 0 && size+len(it.Value) > pageBytes {
			more = true
			break
		}
		items, size = append(items, it), size+len(it.Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	d.reply(w, r, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": asOf})
}

func (s *Store) watch(d *Door, w http.ResponseWriter, r *http.Request) {
	d.watches.Add(1)
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.dropOld(time.Now())
		if after < s.dropped {
			s.mu.Unlock()
			d.reply(w, r, http.StatusGone, nil)
			return
		}
		events := []Item{}
		for i := range s.events {
			if e := &s.events[i]; e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.Item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			d.reply(w, r, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			d.reply(w, r, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
