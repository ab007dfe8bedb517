package plat

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// handlerTransport passes requests to a handler without sockets, so that tests can run in virtual time.
type handlerTransport struct {
	http.Handler
}

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

func newClient(t *testing.T, h http.Handler) *Client {
	t.Helper()
	c, err := New(Config{URL: "http://platform.test", HTTP: &http.Client{Transport: handlerTransport{h}}, Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newPlatform(t *testing.T) *fake.Platform {
	t.Helper()
	p, err := fake.NewPlatform(fake.PlatformConfig{Document: fake.Layout{}.Document()})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A watch must survive a long outage without exhausting the platform's read rate limit, and must return the next
// version within the maximum backoff after the outage.
func TestWatchSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform(t)
		c := newClient(t, p)
		_, err := c.Watch(t.Context(), 0)
		is.NoErr(err)
		p.SetFaults(fake.PlatformFaults{Down: true})
		time.AfterFunc(10*time.Minute, func() {
			is.NoErr(p.PublishRaw([]byte(`{"Version":2}`)))
			p.SetFaults(fake.PlatformFaults{})
		})
		start := time.Now()
		raw, err := c.Watch(t.Context(), 1)
		is.NoErr(err)
		is.Equal(string(raw), `{"Version":2}`)
		is.True(time.Since(start) < 10*time.Minute+defaultBackoffMax)
		s := c.Stats()
		is.Equal(s.Reads, p.Reads().Total)
		is.True(s.Reads < 300) // the mean interval between reads is about 5 s
		is.Equal(s.FailuresInRow, 0)
		is.True(errors.Is(s.LastError, ErrDown))
	})
}

// A node that rejects a document watches again with its old version. Without a backoff these requests would
// exhaust the platform's read rate limit.
func TestWatchPausesAfterRefusedDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClient(t, newPlatform(t))
		start := time.Now()
		for range 20 {
			_, err := c.Watch(t.Context(), 0)
			is.NoErr(err)
		}
		is.True(time.Since(start) >= 19*defaultBackoffMin/2)
	})
}

// The error must contain the failed step, the host and the cause, so that an operator can diagnose it.
func TestErrorsIncludeStepAndHost(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for name, v := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"down":          {reply(503, "down"), ErrDown},
		"limited":       {reply(429, "rate"), ErrLimited},
		"not found":     {reply(404, "?"), ErrInvalid},
		"too large":     {reply(200, `{"Version":9,"Preset":"`+strings.Repeat("x", MaxDocument)+`"}`), ErrTooLarge},
		"cut off":       {reply(200, `{"Version":9,"Pres`), ErrInvalid},
		"older version": {reply(200, `{"Version":1}`), ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, v.handler)
			_, err := c.Read(t.Context(), 1, 0)
			is.True(errors.Is(err, v.want))
			is.True(strings.HasPrefix(err.Error(), "plat: read configuration at platform.test: "))
			is.Equal(c.Stats().Failures, uint64(1))
		})
	}
}

// A watch must return immediately when its context ends, regardless of the state of the platform. The error must
// include the last failure.
func TestWatchEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform(t)
		p.SetFaults(fake.PlatformFaults{Down: true})
		c := newClient(t, p)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		_, err := c.Watch(ctx, 0)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(strings.Contains(err.Error(), "status 503")) // the last failure before the context ended
		is.Equal(time.Since(start), time.Minute)
	})
}

// The VM list must be returned unchanged, and only with VMs of the requested failure domain.
func TestVMs(t *testing.T) {
	is := is.New(t)
	f, err := fake.StartFleet(t.Context(), fake.FleetConfig{})
	is.NoErr(err)
	defer f.Close()
	c, err := New(Config{URL: f.URL})
	is.NoErr(err)
	defer c.config.HTTP.CloseIdleConnections()
	all, err := c.VMs(t.Context(), "")
	is.NoErr(err)
	is.Equal(all, f.Platform.VMs())
	f.MarkLeaving(f.Servers("Yilan")[0].Address())
	one, err := c.VMs(t.Context(), "Yilan")
	is.NoErr(err)
	is.Equal(len(one), 1)
	is.Equal(one[0].State, wire.VMLeaving)
}

// Guards against one odd entry of another writer that keeps the whole VM list from the nodes.
func TestOddVMCostsOnlyItself(t *testing.T) {
	is := is.New(t)
	good := `{"Address":"127.0.0.1:7000","Role":"Entry","FailureDomain":"Lukang","State":"Live"}`
	for name, odd := range map[string]string{
		"port out of range": strings.Replace(good, "7000", "70000", 1),
		"port 0":            strings.Replace(good, "7000", "0", 1),
		"unknown role":      strings.Replace(good, "Entry", "Spare", 1),
		"a number":          `9e400`,
		"other type":        strings.Replace(good, `"Live"`, `{"a":1}`, 1),
		"deeply nested":     strings.Repeat("[", 5_000) + strings.Repeat("]", 5_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"Vms":[` + good + "," + odd + "," + good + `]}`))
			}))
			vms, err := c.VMs(t.Context(), "")
			is.NoErr(err)
			is.Equal(len(vms), 2)
			is.Equal(c.Stats().IncompleteVMLists, uint64(1))
			is.True(errors.Is(c.Stats().LastError, ErrInvalid))
		})
	}
	_, _, err := decodeVMs([]byte(`{"Vms":null}`))
	is.True(errors.Is(err, ErrInvalid))
}

// A document accepted by checkDocument must have a version above the requested one, and errors must have the class
// ErrInvalid.
func FuzzCheckDocument(f *testing.F) {
	f.Add([]byte(`{"Version":2,"Preset":"ordinary"}`), uint64(1))
	f.Add([]byte(`{"Version":-1}`), uint64(0))
	f.Add([]byte(`{"version":2,"Version":1}`), uint64(1))
	f.Add([]byte(`null`), uint64(0))
	f.Fuzz(func(t *testing.T, raw []byte, after uint64) {
		err := checkDocument(raw, after)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error without its class: %v", err)
			}
			return
		}
		if after == ^uint64(0) {
			t.Fatal("document accepted although no version is above the maximum")
		}
	})
}

// Each entry of a list accepted by decodeVMs must have an address, a role, a failure domain and a state, and errors
// must have the class ErrInvalid.
func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`{"Vms":[{"Address":"127.0.0.1:7000","Role":"Entry","FailureDomain":"Yilan","State":"Live"}]}`))
	f.Add([]byte(`{"Vms":[{"Address":"127.0.0.1:7000","Role":"Entry","FailureDomain":"Yilan"}]}`))
	f.Add([]byte(`{"Vms":[null]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		vms, skipped, err := decodeVMs(raw)
		if skipped != nil && !errors.Is(skipped, ErrInvalid) {
			t.Fatalf("error without its class: %v", skipped)
		}
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error without its class: %v", err)
			}
			return
		}
		for _, v := range vms {
			if checkVM(v) != nil {
				t.Fatalf("invalid entry was accepted: %+v", v)
			}
		}
	})
}
