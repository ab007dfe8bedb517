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

// task is a request on a server. If its caller has canceled it, the server may still run it until the time in the
// field until.
type task struct {
	request                     Request[int]
	server                      int
	canary, exclusive, canceled bool
	until                       time.Time
}

var poisonFingerprints = []Fingerprint{request(0, "poison").Fingerprint, request(0, "poison 2").Fingerprint}

// simulation is a guard with six servers. Each of the poison requests crashes each server that runs it
// to completion.
type simulation struct {
	guard   *Guard[int]
	now     time.Time
	next    int
	tasks   []task
	waiting map[int]Request[int]
	crashes map[Fingerprint]int
	random  *rand.Rand
}

func (s *simulation) arrive(r Request[int]) error {
	d := s.guard.Begin(s.now, r)
	switch d.Action {
	case Refuse:
		if d.Reason == wire.ReasonQuarantine && !slices.Contains(poisonFingerprints, r.Fingerprint) {
			return fmt.Errorf("a request that crashes no server is quarantined")
		}
	case Wait:
		s.waiting[r.ID] = r
	case RunCanary:
		i := s.pickServer(d.Exclusive, func(i int) bool {
			return s.guard.CanRunCanary(s.now, r.Fingerprint, d.Exclusive, server(i))
		})
		if i < 0 {
			return s.resume(s.guard.CanaryEnded(s.now, r, netip.AddrPort{}, false))
		}
		s.tasks = append(s.tasks, task{request: r, server: i, canary: true, exclusive: d.Exclusive})
	case Proceed:
		if i := s.pickServer(false, func(int) bool { return true }); i >= 0 {
			s.tasks = append(s.tasks, task{request: r, server: i})
		}
	}
	return nil
}

// pickServer returns a random server that may run the request, or -1.
func (s *simulation) pickServer(exclusive bool, fits func(i int) bool) int {
	for _, i := range s.random.Perm(6) {
		busy := !fits(i)
		for _, t := range s.tasks {
			busy = busy || t.server == i && !t.canceled && (exclusive || t.exclusive)
		}
		if !busy {
			return i
		}
	}
	return -1
}

func (s *simulation) resume(p Report[int]) error {
	var err error
	for _, id := range p.Resume {
		r := s.waiting[id]
		delete(s.waiting, id)
		err = cmp.Or(err, s.arrive(r))
	}
	return err
}

// finish completes a task. The task is removed before its result is reported.
func (s *simulation) finish(i int) error {
	t := s.tasks[i]
	s.tasks = slices.Delete(s.tasks, i, i+1)
	if f := t.request.Fingerprint; slices.Contains(poisonFingerprints, f) {
		s.crashes[f]++
		return s.crash(t.server, t)
	}
	if t.canceled {
		return nil
	}
	return s.resume(s.guard.Succeeded(s.now, t.request))
}

// crash ends all tasks on a server and reports each of them.
func (s *simulation) crash(i int, more ...task) error {
	ended := more
	s.tasks = slices.DeleteFunc(s.tasks, func(t task) bool {
		if t.server == i {
			ended = append(ended, t)
		}
		return t.server == i
	})
	s.guard.ServerCrashed(s.now, server(i))
	var err error
	for _, t := range ended {
		if !t.canceled {
			err = cmp.Or(err, s.resume(s.guard.Crashed(s.now, t.request, server(i))))
		}
	}
	return err
}

// cancel cancels a request, as its caller would, while the server is running it.
func (s *simulation) cancel(i int) error {
	t := &s.tasks[i]
	if t.canceled {
		return nil
	}
	// A step takes up to 100 ms, so the server ends the request within defaultSuspectFor.
	t.canceled, t.until = true, s.now.Add(defaultSuspectFor-100*time.Millisecond)
	if !t.canary {
		return nil
	}
	return s.resume(s.guard.CanaryEnded(s.now, t.request, server(t.server), true))
}

// handOver replaces the guard by a new one that merges its marks, as when a lease moves after a drain.
func (s *simulation) handOver() error {
	b, err := json.Marshal(s.guard.List(s.now))
	var marks []PoisonMark
	if err != nil || json.Unmarshal(b, &marks) != nil || len(b) > 900*max(1, len(marks)) {
		return fmt.Errorf("marks of %d bytes: %w", len(b), err)
	}
	s.guard = New[int](Config{})
	for _, n := range marks {
		s.guard.Merge(s.now, n)
	}
	return nil
}

func (s *simulation) step(v uint32, poison bool) error {
	s.random = rand.New(rand.NewPCG(uint64(v), 3))
	s.now = s.now.Add(time.Duration(s.random.IntN(100)) * time.Millisecond)
	due := func(t task) bool { return t.canceled && !s.now.Before(t.until) }
	var err error
	for i := slices.IndexFunc(s.tasks, due); i >= 0 && err == nil; i = slices.IndexFunc(s.tasks, due) {
		err = s.finish(i)
	}
	switch n := v % 100; {
	case n < 45 || len(s.tasks) == 0:
		s.next++
		bodies := []string{"clogs 24", "clogs 25", "poison", "poison 2"}
		if !poison {
			bodies = bodies[:2]
		}
		return cmp.Or(err, s.arrive(request(s.next, bodies[s.random.IntN(len(bodies))])))
	case n < 85:
		return cmp.Or(err, s.finish(s.random.IntN(len(s.tasks))))
	case n < 95:
		return cmp.Or(err, s.cancel(s.random.IntN(len(s.tasks))))
	}
	return err
}

// TestPoisonRequestCrashesAtMostTwoServers guards against a poison request that its caller retries until no
// server is left, and against a quarantine of requests that only shared a server with it, or that were on a
// server which crashed for another reason.
func TestPoisonRequestCrashesAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actions := rapid.SliceOfN(rapid.Uint32(), 50, 400).Draw(t, "actions")
		poison := rapid.Bool().Draw(t, "poison")
		s := &simulation{
			guard: New[int](Config{}), now: start,
			waiting: make(map[int]Request[int]), crashes: make(map[Fingerprint]int),
		}
		for i, v := range actions {
			err := s.step(v, poison)
			if !poison && i == len(actions)/2 {
				err = cmp.Or(err, s.crash(s.random.IntN(6)))
			}
			if len(s.tasks) == 0 && len(s.waiting) == 0 {
				err = cmp.Or(err, s.handOver())
			}
			for i == len(actions)-1 && len(s.tasks) > 0 && err == nil {
				err = s.finish(0)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if max(s.crashes[poisonFingerprints[0]], s.crashes[poisonFingerprints[1]]) > quarantineThreshold ||
			len(s.waiting) > 0 || s.guard.waiting != 0 {
			t.Fatalf("crashes by fingerprint: %v, want at most 2 each; %d requests still wait", s.crashes, len(s.waiting))
		}
	})
}

// TestQuarantineDoubles guards against a quarantine that is not renewed after a further crash, and against one
// that is never lifted for a request that has become harmless.
func TestQuarantineDoubles(t *testing.T) {
	is := is.New(t)
	g := New[int](Config{})
	now := start
	r := request(1, "poison")
	for i, wait := range []time.Duration{0, 10, 20, 40, 80, 160, 160} {
		d := g.Begin(now, r)
		is.Equal(d.Action, RunCanary)
		is.Equal(d.Exclusive, i > 0)
		now = now.Add(time.Second)
		is.True(g.Crashed(now, r, server(i)).Mark != nil)
		until := now.Add(wait * time.Minute)
		if i > 0 {
			is.Equal(g.Begin(until.Add(-1), r), Decision{Action: Refuse, Until: until, Reason: wire.ReasonQuarantine})
		}
		now = until
	}
	is.Equal(len(g.List(now)), 1)
	is.Equal(g.Begin(now, r).Action, RunCanary)
	is.Equal(len(g.Succeeded(now, r).Mark.Crashes), 0)
	is.Equal(g.Begin(now, r).Action, Proceed)
	is.Equal(g.Begin(now.Add(defaultSuccessLifetime), r), Decision{Action: RunCanary})
	is.True(g.Crashed(now, r, server(1)).Mark != nil) // counts although its time is not after Cleared
	is.True(g.Begin(now, r).Exclusive)
	g.CanaryEnded(now, r, server(1), false)
	g.Expire(now.Add(markLifetime + time.Second))
	is.Equal(len(g.List(now)), 0)
	is.True(FingerprintOf("ab", "c", "d") != FingerprintOf("a", "bc", "d"))
}

// TestMergeOrder guards against nodes that diverge permanently because marks arrived in a different order, and
// against memory that grows with the marks of peers.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SliceOfN(rapid.IntRange(0, 99), 1, 12).Draw(t, "marks")
		a, b := New[int](Config{MaxMarks: 4}), New[int](Config{MaxMarks: 4})
		marks := make([]PoisonMark, len(v))
		for i, n := range v {
			f := FingerprintOf("clogs", "lookup", string(rune('a'+n%4)))
			marks[i] = PoisonMark{Fingerprint: f, Crashes: []Crash{{Server: server(n % 7), At: start.Add(time.Duration(n) * time.Second)}}}
			if n%5 == 0 {
				marks[i] = PoisonMark{Fingerprint: f, Cleared: start.Add(time.Duration(n/2) * time.Second)}
			}
		}
		now := start.Add(2 * time.Minute)
		for i := range marks {
			a.Merge(now, marks[i])
			b.Merge(now, marks[len(marks)-1-i])
			b.Merge(now, marks[i])
		}
		x, _ := json.Marshal(a.List(now))
		y, _ := json.Marshal(b.List(now))
		if string(x) != string(y) {
			t.Fatalf("%s differs from %s", x, y)
		}
		for i := range 10 {
			f := FingerprintOf("other", "lookup", fmt.Sprint(i))
			a.Merge(now, PoisonMark{Fingerprint: f, Crashes: []Crash{{Server: server(1), At: now}}})
		}
		if len(a.marks) > 4 || a.Merge(now, PoisonMark{Cleared: now.Add(time.Hour)}) {
			t.Fatal("a mark beyond MaxMarks or maxClockSkew was retained")
		}
	})
}
