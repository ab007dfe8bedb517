package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// spliceServer is a small server that rejects requests when it is full. While garbling, it sends a second copy of a part of
// its answers, late: just before the next answer on the connection. The copies are broken off.
type spliceServer struct {
	w       *world
	slots   chan struct{}
	waiting chan struct{}

	mu       sync.Mutex
	garbling bool
	answers  int
	copies   int
	late     map[net.Conn][]byte
}

const (
	// garbleShare and garbleFor are the largest dose of the site file for answers that come twice, late; half of the servers
	// are affected.
	garbleShare = 0.04
	garbleFor   = 5 * time.Second
)

func newSpliceServer(w *world) *spliceServer {
	const slots, queue = 2, 2
	return &spliceServer{
		w: w, slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queue), late: make(map[net.Conn][]byte),
	}
}

// garble switches the fault on or off.
func (s *spliceServer) garble(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbling, s.answers, s.copies = on, 0, 0
}

func (s *spliceServer) handle(x *exchange) {
	if !x.readBody() {
		return
	}
	select {
	case s.waiting <- struct{}{}:
	default:
		s.answer(x, http.StatusServiceUnavailable, "X-Not-Executed: 1", nil)
		return
	}
	defer func() { <-s.waiting }()
	deadline := time.NewTimer(x.left)
	defer deadline.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-deadline.C:
		s.answer(x, http.StatusServiceUnavailable, "X-Not-Executed: 1", nil)
		return
	}
	defer func() { <-s.slots }()
	x.begin()
	time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
	body := records(4)
	s.answer(x, http.StatusOK, "X-Server-Seal: "+s.w.seal(x, http.StatusOK, body), body)
}

// answer sends the bytes that are due from an earlier answer, if any, and then the answer.
func (s *spliceServer) answer(x *exchange, status int, first string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s\r\nDate: %s\r\nContent-Type: application/octet-stream\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), first, time.Now().UTC().Format(http.TimeFormat), x.id, len(body))
	b.Write(body)
	s.mu.Lock()
	late := s.late[x.conn]
	delete(s.late, x.conn)
	s.answers++
	if s.garbling && float64(s.copies+1) <= garbleShare*float64(s.answers) {
		s.copies++
		s.late[x.conn] = b.Bytes()[:1+rand.IntN(b.Len()-1)]
	}
	s.mu.Unlock()
	if late != nil {
		s.w.note("server %s sends %d late bytes of an earlier answer before its answer %d to attempt %s", x.server.id, len(late), status, x.id)
		_, _ = x.conn.Write(late)
	}
	s.w.note("server %s answers %d to attempt %s", x.server.id, status, x.id)
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		x.ended = true
	}
}

// splice plays servers that send the beginning of a second copy of an answer, late, at the point where the next answer is
// expected. The routes are not idempotent.
func splice(w *world, trouble bool) (string, error) {
	const (
		host    = "pupu76.example"
		windows = 9
		calm    = 4 * time.Second
		callers = 72
	)
	names := []string{"billing", "yard", "office"}
	var routes []routeDoc
	var services []serviceDoc
	for _, n := range names {
		routes = append(routes, routeDoc{
			Name: "r-" + n, Host: host, Prefix: "/" + n + "/", RouteType: "unsafe", TimeoutMs: 6000, TargetMs: 400, Priority: 2,
			MaxAttempts: 2, Service: n,
		})
		services = append(services, serviceDoc{Name: n, HealthPath: "/healthz", MaxConns: 52, Protocol: "h1", ColdStartS: 3})
	}
	w.store.put("op/config", newConfig(7, routes, services))
	var faulty []*spliceServer
	for i, n := range names {
		for k, z := range zones[:2] {
			b := newSpliceServer(w)
			s, err := newServer(w, n, z, fmt.Sprintf("i-%08x", 0x7f3a0000+16*i+k), "", b.handle)
			if err != nil {
				return "", err
			}
			s.register()
			if k == 0 {
				faulty = append(faulty, b)
			}
		}
	}
	f, err := newFleet(w, w.store.address, append(append([]string{}, zones...), zones...))
	if err != nil {
		return "", err
	}
	w.fleet = f
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)

	end := time.Now().Add(windows * (garbleFor + calm))
	type sent struct {
		a *attempt
		o outcome
	}
	var mu sync.Mutex
	var list []sent
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				a := &attempt{
					id: newID(), host: host, method: http.MethodPost, uri: "/" + names[c%len(names)] + "/" + newID(),
					body: []byte(`{"pairs":12}`), deadline: 6 * time.Second,
				}
				o := once(f.nodes[c/len(names)%len(f.nodes)].front, a)
				w.note("attempt %s, sent at %s: %s", a.id, w.since(a.sentAt), o)
				mu.Lock()
				list = append(list, sent{a, o})
				mu.Unlock()
			}
		})
	}
	for range windows {
		time.Sleep(calm)
		for _, s := range faulty {
			s.garble(trouble)
		}
		time.Sleep(garbleFor)
		for _, s := range faulty {
			s.garble(false)
		}
	}
	group.Wait()
	time.Sleep(time.Second)
	twice, refused, mixed := 0, 0, 0
	statuses := make(map[int]int)
	for _, x := range list {
		statuses[x.o.status]++
		runs := w.runsOf(x.a.id)
		if len(runs) > 1 {
			twice++
			w.note("TWICE: attempt %s ran at %s and %s: %s", x.a.id, runs[0].server, runs[1].server, x.o)
		}
		if x.o.err == nil && promises(x.o.status) && len(runs) > 0 {
			refused++
			w.note("REFUSED: attempt %s ran at %s: %s", x.a.id, runs[0].server, x.o)
		}
		if x.o.err != nil {
			continue
		}
		if bad := w.checkSingle(x.a, x.o); bad != "" {
			mixed++
			w.note("MIXED: attempt %s: %s; %s; %v", x.a.id, x.o, bad, x.o.header)
		}
	}
	text := fmt.Sprintf("of %d requests, %d ran twice, %d were refused and have run, %d answers were wrong", len(list), twice, refused, mixed)
	w.note("%s; answers by status (0: none): %v", text, statuses)
	if twice+refused > 0 {
		return "TWICE or REFUSED: " + text, nil
	}
	fmt.Println(text)
	return "", nil
}
