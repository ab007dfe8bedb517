package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// Guards against a stand-in that reports an order as "not run" although it ran, or does not record an
// order that it completed. Tests of at-most-once execution compare responses with the record, and would
// then blame the nodes for such a fault or miss a fault of theirs.
func TestRecordAgreesWithAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	s := NewServer(ServerConfig{
		Slots: 4, ColdSlots: 2, Connections: 12, CrashAfter: 20, RestartDelay: 5 * time.Millisecond, Seed: 11,
		Faults: ServerFaults{Shed: 0.1, Truncate: 0.1, WrongRequest: 0.1, SilentAfter: 20},
	})
	is.NoErr(s.Listen(anyLoopback))
	defer s.Close()
	const senders, each = 16, 40
	var mu sync.Mutex
	answered, notRun := map[string]bool{}, map[string]bool{}
	var all sync.WaitGroup
	for n := range senders {
		all.Go(func() {
			cl := newClient(t)
			cl.Timeout = 60 * time.Millisecond
			defer cl.CloseIdleConnections()
			for i := range each {
				key := fmt.Sprintf("k%d-%d", n, i)
				status, body := testRequest{id: key, key: key, timeout: 40 * time.Millisecond}.send(t, cl, s.Address())
				var a wire.BackendOrderAnswer
				mu.Lock()
				switch {
				case status == http.StatusOK && json.Unmarshal([]byte(body), &a) == nil && a.Complete && a.Key == key:
					answered[key] = true
				case status != 0 && status != http.StatusOK && decodeFailure(body).NotRun:
					notRun[key] = true
				}
				mu.Unlock()
			}
		})
	}
	for range 4 {
		time.Sleep(25 * time.Millisecond)
		s.Silence()
		s.MakeCold()
		time.Sleep(25 * time.Millisecond)
		s.Crash()
	}
	all.Wait()
	is.True(eventually(func() bool { return s.Incarnation() != "" })) // a restart may be pending
	r := s.Record()
	for key := range answered {
		is.Equal(r.Orders[key].Count, 1)
		is.Equal(r.Orders[key].Finished, 1)
	}
	for key := range notRun {
		is.Equal(r.Orders[key].Count, 0)
	}
	is.True(len(answered) > 0 && len(notRun) > 0)
	is.True(r.Crashes > 0)
	is.True(r.MaxConnections <= 12)
	is.True(r.MaxConcurrent <= 8)
	is.Equal(len(r.Incarnations), r.Crashes+1)
}
