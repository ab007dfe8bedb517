package fake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/matryer/is"
)

func newPlatform(t *testing.T, c PlatformConfig) *Platform {
	t.Helper()
	c.Document = Layout{}.Document()
	p, err := NewPlatform(c)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func request(t *testing.T, p *Platform, method, target, body, key string) (int, string) {
	r := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func get(t *testing.T, p *Platform, target string) (int, string) {
	return request(t, p, http.MethodGet, target, "", "")
}

// Guards against a watch that misses a change or ends early without one, which would invalidate every
// measured bound on the propagation of a configuration.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform(t, PlatformConfig{})
		status, body := get(t, p, "/v1/config?after=0&wait=20s")
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, `"Version":1,`))
		start := time.Now()
		status, _ = get(t, p, "/v1/config?after=1&wait=3s")
		is.Equal(status, http.StatusNotModified)
		is.Equal(time.Since(start), 3*time.Second)
		time.AfterFunc(time.Second, func() { _ = p.PublishRaw([]byte(`{"Version":2}`)) })
		start = time.Now()
		status, body = get(t, p, "/v1/config?after=1&wait=20s")
		is.Equal(status, http.StatusOK)
		is.Equal(body, `{"Version":2}`)
		is.Equal(time.Since(start), time.Second)
		is.Equal(p.Reads().Total, uint64(3))
		status, _ = get(t, p, "/v1/config?after=-1")
		is.Equal(status, http.StatusBadRequest)
	})
}

// Guards against platform faults that do not take effect. Tests use them to simulate weeks in which the
// platform is down, stale or slow.
func TestPlatformFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform(t, PlatformConfig{OperatorKey: "founder"})
		is.NoErr(p.PublishRaw([]byte(`{"Version":2}`)))
		p.SetFaults(PlatformFaults{Stale: 1})
		_, body := get(t, p, "/v1/config?after=0")
		is.True(strings.Contains(body, `"Version":1,`))
		status, _ := get(t, p, "/v1/config?after=1&wait=1s")
		is.Equal(status, http.StatusNotModified)
		time.AfterFunc(time.Second, func() { p.SetFaults(PlatformFaults{Down: true}) })
		status, _ = get(t, p, "/v1/config?after=2&wait=20s")
		is.Equal(status, http.StatusServiceUnavailable) // the fault applies to a waiting watch as well
		p.SetFaults(PlatformFaults{Slow: wire.Duration(time.Second), VMDelay: wire.Duration(10 * time.Second)})
		p.SetVMs([]wire.VM{{Address: anyLoopback, Role: wire.RoleEntry, FailureDomain: "Yilan", State: wire.VMLive}})
		start := time.Now()
		_, body = get(t, p, "/v1/vms?domain=Yilan")
		is.Equal(time.Since(start), time.Second)
		is.Equal(strings.TrimSpace(body), `{"Vms":[]}`)
		time.Sleep(10 * time.Second)
		_, body = get(t, p, "/v1/vms?domain=Yilan")
		is.True(strings.Contains(body, `"Entry"`))

		status, _ = request(t, p, http.MethodPut, "/v1/config", `{"Version":3}`, "cooperative")
		is.Equal(status, http.StatusForbidden)
		for _, want := range []int{http.StatusNoContent, http.StatusConflict} {
			status, _ = request(t, p, http.MethodPut, "/v1/config", `{"Version":3}`, "founder")
			is.Equal(status, want)
		}
		status, _ = request(t, p, http.MethodPut, "/v1/config", strings.Repeat(" ", MaxDocument+1), "founder")
		is.Equal(status, http.StatusRequestEntityTooLarge)
	})
}

// Guards against a fleet that reads too often without being counted and rate limited.
func TestReadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlatform(t, PlatformConfig{})
		limited := 0
		for range DefaultReadLimit + 5 {
			if status, _ := get(t, p, "/v1/config"); status == http.StatusTooManyRequests {
				limited++
			}
		}
		is.Equal(limited, 5)
		time.Sleep(time.Second)
		status, _ := get(t, p, "/v1/config")
		is.Equal(status, http.StatusOK)
		r := p.Reads()
		is.Equal(r.Total, uint64(DefaultReadLimit+6))
		is.Equal(r.Limited, uint64(5))
		is.Equal(r.LastSecond, DefaultReadLimit+5)
		is.Equal(r.MaxPerSecond, DefaultReadLimit+5)
	})
}
