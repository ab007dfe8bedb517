package guard

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusthread/arbutusthread/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 8000)
}

func request(id int, body string) Request[int] {
	return Request[int]{ID: id, Fingerprint: FingerprintOf("clogs", "lookup", body), Service: "clogs", Kind: "lookup"}
}

// task is a request on a server. After its caller has left, the server may run it until the time.
type task struct {
	request             Request[int]
	server              int
	canary, alone, left bool
	until               time.Time
}

var poisons = []Fingerprint{request(0, "poison").Fingerprint, request(0, "poison 2").Fingerprint}

// world is a home with six servers. Each of the poisons crashes each server that runs it to
// its end.
type world struct {
	guard   *Guard[int]
	now     time.Time
	next    int
	tasks   []task
	waiting map[int]Request[int]
	lost    map[Fingerprint]int
	random  *rand.Rand
}

func (w *world) arrive(r Request[int]) error {
	d := w.guard.Begin(w.now, r)
	switch d.Action {
	case Refuse:
		if d.Reason == wire.ReasonQuarantine && !slices.Contains(poisons, r.Fingerprint) {
			return fmt.Errorf("a request is in quarantine although it crashes no server")
		}
	case Wait:
		w.waiting[r.ID] = r
	case RunCanary:
		i := w.free(d.Alone, func(i int) bool { return w.guard.Fits(w.now, r.Fingerprint, d.Alone, server(i)) })
		if i < 0 {
			return w.resume(w.guard.Ended(w.now, r, netip.AddrPort{}, false))
		}
		w.tasks = append(w.tasks, task{request: r, server: i, canary: true, alone: d.Alone})
	case Proceed:
		if i := w.free(false, func(int) bool { return true }); i >= 0 {
			w.tasks = append(w.tasks, task{request: r, server: i})
		}
	}
	return nil
}

// free returns a server that may take the request, or -1.
func (w *world) free(alone bool, fits func(i int) bool) int {
	for _, i := range w.random.Perm(6) {
		busy := !fits(i)
		for _, t := range w.tasks {
			busy = busy || t.server == i && !t.left && (alone || t.alone)
		}
		if !busy {
			return i
		}
	}
	return -1
}

func (w *world) resume(p Report[int]) error {
	var err error
	for _, id := range p.Resume {
		r := w.waiting[id]
		delete(w.waiting, id)
		err = cmp.Or(err, w.arrive(r))
	}
	return err
}

// end completes a task, which is removed first.
func (w *world) end(i int) error {
	t := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	if f := t.request.Fingerprint; slices.Contains(poisons, f) {
		w.lost[f]++
		return w.crash(t.server, t)
	}
	if t.left {
		return nil
	}
	return w.resume(w.guard.Succeeded(w.now, t.request))
}

// crash ends all tasks on a server and reports each of them.
func (w *world) crash(i int, more ...task) error {
	ended := more
	w.tasks = slices.DeleteFunc(w.tasks, func(t task) bool {
		if t.server == i {
			ended = append(ended, t)
		}
		return t.server == i
	})
	w.guard.ServerCrashed(w.now, server(i))
	var err error
	for _, t := range ended {
		if !t.left {
			err = cmp.Or(err, w.resume(w.guard.Crashed(w.now, t.request, server(i))))
		}
	}
	return err
}

// leave lets a caller give up while the server runs its request.
func (w *world) leave(i int) error {
	t := &w.tasks[i]
	if t.left {
		return nil
	}
	// A step takes up to 100 ms, so the server ends the request within defaultSuspectFor.
	t.left, t.until = true, w.now.Add(defaultSuspectFor-100*time.Millisecond)
	if !t.canary {
		return nil
	}
	return w.resume(w.guard.Ended(w.now, t.request, server(t.server), true))
}

// handOver passes the notes to a new home, as when a lease moves after a drain.
func (w *world) handOver() error {
	b, err := json.Marshal(w.guard.List(w.now))
	var notes []Note
	if err != nil || json.Unmarshal(b, &notes) != nil || len(b) > 900*max(1, len(notes)) {
		return fmt.Errorf("notes of %d bytes: %w", len(b), err)
	}
	w.guard = New[int](Config{})
	for _, n := range notes {
		w.guard.Merge(w.now, n)
	}
	return nil
}

func (w *world) step(v uint32, poison bool) error {
	w.random = rand.New(rand.NewPCG(uint64(v), 3))
	w.now = w.now.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
	due := func(t task) bool { return t.left && !w.now.Before(t.until) }
	var err error
	for i := slices.IndexFunc(w.tasks, due); i >= 0 && err == nil; i = slices.IndexFunc(w.tasks, due) {
		err = w.end(i)
	}
	switch n := v % 100; {
	case n < 45 || len(w.tasks) == 0:
		w.next++
		bodies := []string{"clogs 24", "clogs 25", "poison", "poison 2"}
		if !poison {
			bodies = bodies[:2]
		}
		return cmp.Or(err, w.arrive(request(w.next, bodies[w.random.IntN(len(bodies))])))
	case n < 85:
		return cmp.Or(err, w.end(w.random.IntN(len(w.tasks))))
	case n < 95:
		return cmp.Or(err, w.leave(w.random.IntN(len(w.tasks))))
	}
	return err
}

// TestAtMostTwoServersAreLost guards against a request that its caller sends until no server is
// left, and against a quarantine of requests that only shared a server with it or with a server
// that crashed for another reason.
func TestAtMostTwoServersAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actions := rapid.SliceOfN(rapid.Uint32(), 50, 400).Draw(t, "actions")
		poison := rapid.Bool().Draw(t, "poison")
		w := &world{guard: New[int](Config{}), now: start, waiting: make(map[int]Request[int]), lost: make(map[Fingerprint]int)}
		for i, v := range actions {
			err := w.step(v, poison)
			if !poison && i == len(actions)/2 {
				err = cmp.Or(err, w.crash(w.random.IntN(6)))
			}
			if len(w.tasks) == 0 && len(w.waiting) == 0 {
				err = cmp.Or(err, w.handOver())
			}
			for i == len(actions)-1 && len(w.tasks) > 0 && err == nil {
				err = w.end(0)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if max(w.lost[poisons[0]], w.lost[poisons[1]]) > crashLimit || len(w.waiting) > 0 || w.guard.waiting != 0 {
			t.Fatalf("%v servers are lost, %d requests still wait", w.lost, len(w.waiting))
		}
	})
}

// TestQuarantineDoubles guards against a quarantine that ends for good, or that never ends for a
// request that has become harmless.
func TestQuarantineDoubles(t *testing.T) {
	is := is.New(t)
	g := New[int](Config{})
	now := start
	r := request(1, "poison")
	for i, wait := range []time.Duration{0, 10, 20, 40, 80, 160, 160} {
		d := g.Begin(now, r)
		is.Equal(d.Action, RunCanary)
		is.Equal(d.Alone, i > 0)
		now = now.Add(time.Second)
		is.True(g.Crashed(now, r, server(i)).Note != nil)
		until := now.Add(wait * time.Minute)
		if i > 0 {
			is.Equal(g.Begin(until.Add(-1), r), Decision{Action: Refuse, Until: until, Reason: wire.ReasonQuarantine})
		}
		now = until
	}
	is.Equal(len(g.List(now)), 1)
	is.Equal(g.Begin(now, r).Action, RunCanary)
	is.Equal(len(g.Succeeded(now, r).Note.Crashes), 0)
	is.Equal(g.Begin(now, r).Action, Proceed)
	is.Equal(g.Begin(now.Add(defaultProvenFor), r), Decision{Action: RunCanary})
	is.True(g.Crashed(now, r, server(1)).Note != nil) // not after Cleared, and still counted
	is.True(g.Begin(now, r).Alone)
	g.Ended(now, r, server(1), false)
	g.Expire(now.Add(markLifetime + time.Second))
	is.Equal(len(g.List(now)), 0)
	is.True(FingerprintOf("ab", "c", "d") != FingerprintOf("a", "bc", "d"))
}

// TestMergeOrder guards against nodes that disagree for good because notes arrived in another
// order, and against memory that grows with the notes of peers.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SliceOfN(rapid.IntRange(0, 99), 1, 12).Draw(t, "notes")
		a, b := New[int](Config{MaxNotes: 4}), New[int](Config{MaxNotes: 4})
		notes := make([]Note, len(v))
		for i, n := range v {
			f := FingerprintOf("clogs", "lookup", string(rune('a'+n%4)))
			notes[i] = Note{Fingerprint: f, Crashes: []Crash{{server(n % 7), start.Add(time.Duration(n) * time.Second)}}}
			if n%5 == 0 {
				notes[i] = Note{Fingerprint: f, Cleared: start.Add(time.Duration(n/2) * time.Second)}
			}
		}
		now := start.Add(2 * time.Minute)
		for i := range notes {
			a.Merge(now, notes[i])
			b.Merge(now, notes[len(notes)-1-i])
			b.Merge(now, notes[i])
		}
		x, _ := json.Marshal(a.List(now))
		y, _ := json.Marshal(b.List(now))
		if string(x) != string(y) {
			t.Fatalf("%s differs from %s", x, y)
		}
		for i := range 10 {
			f := FingerprintOf("other", "lookup", fmt.Sprint(i))
			a.Merge(now, Note{Fingerprint: f, Crashes: []Crash{{server(1), now}}})
		}
		if len(a.notes) > 4 || a.Merge(now, Note{Cleared: now.Add(time.Hour)}) {
			t.Fatal("a note above the bounds was kept")
		}
	})
}
