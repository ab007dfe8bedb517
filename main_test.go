package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/wire"
)

// newTestNode starts an HTTP server with the callers' and the operators' API of a node and returns its
// address. The kind of an order determines its outcome.
func newTestNode(t *testing.T) string {
	mux := http.NewServeMux()
	var address string
	reply := func(w http.ResponseWriter, status int, v any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /v1/services/ledger/addresses", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, wire.Addresses{Service: "ledger", Addresses: []string{address}, TTL: wire.Duration(time.Minute)})
	})
	mux.HandleFunc("POST /v1/services/ledger/query", func(w http.ResponseWriter, r *http.Request) {
		var q wire.Query
		_ = json.NewDecoder(r.Body).Decode(&q)
		reply(w, 200, wire.Answer{
			RequestID: q.RequestID, Outcome: wire.Answered, IndexVersion: "v1", Total: 1,
			Hits:     []wire.Hit{{ID: "clog-7", Score: 0.5, Fields: json.RawMessage(`{"Pairs":12}`)}},
			Coverage: wire.Coverage{Shards: 2, Covered: []string{"a"}, Missing: []wire.MissingShard{{Shard: "b", Reason: wire.ReasonDeadline}}},
		})
	})
	mux.HandleFunc("POST /v1/services/ledger/order-keys", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, wire.OrderKeys{Keys: []wire.OrderKey{{Key: "key-1", Expires: time.Now().Add(time.Minute)}}})
	})
	orders := func(w http.ResponseWriter, r *http.Request) {
		var o wire.Order
		_ = json.NewDecoder(r.Body).Decode(&o)
		switch o.Kind {
		case "refused":
			reply(w, 403, wire.Refuse(wire.StepAuth, "", wire.ReasonForbidden, "not allowed"))
		case "unknown":
			reply(w, 503, wire.UnknownOutcome(wire.StepDispatch, "", wire.ReasonBackend, "no answer"))
		default:
			reply(w, 200, wire.OrderResult{Key: "key-1", Outcome: wire.Answered, Result: json.RawMessage(`{"Pairs":12}`)})
		}
	}
	mux.HandleFunc("POST /v1/services/ledger/orders", orders)
	mux.HandleFunc("GET /v1/services/ledger/orders/key-1", orders)
	mux.HandleFunc("GET /ops/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Name":"entry-1","Members":[{"Address":"127.0.0.1:7100","State":"Up"},{"Address":"127.0.0.1:7101","State":"Down","Since":"5s"}],"Faults":[],"Nested":{"Limits":[1,2]}}`)
	})
	mux.HandleFunc("GET /ops/explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("id") != "5f0c" {
			reply(w, 404, wire.Refuse(wire.StepDecode, "", wire.ReasonNotFound, "no decision of request %q", r.PathValue("id")))
			return
		}
		_, _ = io.WriteString(w, `[{"Step":"plan","Detail":{"Slices":[{"Home":"x"}]}}]`)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address = strings.TrimPrefix(server.URL, "http://")
	return address
}

// Guards against an exit code that makes a script place an order twice or accept an invalid configuration,
// and against output without the order key.
func TestExitCodes(t *testing.T) {
	node := newTestNode(t)
	tests := []struct {
		line string
		in   string
		code int
		want string // part of the output
	}{
		{"", "", exitUsage, "command is required"},
		{"--help", "", exitOK, "Exit codes"},
		{"order --help", "", exitOK, "--lookup"},
		{"absent", "", exitUsage, `unknown command "absent"`},
		{"check", "", exitUsage, "at least one FILE"},
		{"check --absent x", "", exitUsage, "absent"},
		{"check sample/tw-west.json --json", "", exitUsage, "before the arguments"},
		{"check sample/node.json sample/tw-west.json sample/mu-island.json", "", exitOK, "52 services, 107 servers"},
		{"check -", `{"Version": 1}`, exitInvalid, "-: Services: must have at least 1 entries, has 0"},
		{"--json check -", `{"PeerAddress": 1}`, exitInvalid, `"Path": "PeerAddress"`},
		{"check --kind settings -", `{"Version": 1}`, exitInvalid, "Version: unknown field"},
		{"check absent.json", "", exitFailed, "absent.json"},
		{"query -a NODE --kind lookup ledger cedar", "", exitUsage, "ARBUTUSTHREAD_KEY"},
		{"query -a NODE --key k ledger cedar", "", exitUsage, "--kind is required"},
		{"query -a NODE --key k --kind lookup ledger cedar", "", exitOK, "1 of 1 hits, index v1, 1 of 2 shards"},
		{"query -a NODE --key k --kind lookup --json ledger cedar", "", exitOK, `"Outcome": "Answered"`},
		{"query -a 127.0.0.1:1 --key k --kind lookup ledger cedar", "", exitFailed, "refused, not run"},
		{"order -a NODE --key k --kind place-order ledger -", `{"Pairs": 12}`, exitOK, "Answered, order key key-1\n{\"Pairs\":12}"},
		{"order -a NODE --key k --kind place-order ledger {", "", exitUsage, "not JSON"},
		{"order -a NODE --key k --kind refused ledger {}", "", exitFailed, "refused, not run"},
		{"order -a NODE --key k --kind unknown -t 300ms ledger {}", "", exitUnknown, "Unknown, order key key-1"},
		{"order -a NODE --key k --kind unknown -t 300ms --resend key-1 ledger {}", "", exitUnknown, "Unknown, order key key-1"},
		{"order -a NODE --key k --lookup key-1 ledger", "", exitOK, "Answered, order key key-1"},
		{"status --ops NODE", "", exitOK, "127.0.0.1:7101  Down   5s"},
		{"status --ops NODE --json", "", exitOK, `"Name": "entry-1"`},
		{"status --ops 127.0.0.1:1 -t 1s", "", exitFailed, "127.0.0.1:1"},
		{"explain --ops NODE 5f0c", "", exitOK, "- 1\n  Step: plan"},
		{"explain --ops NODE absent", "", exitFailed, "no decision"},
		{"explain --logs - r1", `{"time":"2026-03-25T09:17:34Z","msg":"answered","Node":"n","RequestId":"r1","Status":504}`, exitOK, "+0.0ms  n  answered  Status=504"},
		{"explain --logs - r2", `{"time":"2026-03-25T09:17:34Z","msg":"answered","RequestId":"r1"}`, exitFailed, "no match in 1 log lines for request r2"},
		{"explain --logs absent.log r1", "", exitFailed, "absent.log"},
	}
	for _, x := range tests {
		t.Run(x.line, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			s := &cli{in: strings.NewReader(x.in), out: &out, err: &errs}
			args := strings.Fields(strings.ReplaceAll(x.line, "NODE", node))
			is.Equal(run(context.Background(), s, args), x.code)
			all := out.String() + errs.String()
			if !strings.Contains(all, x.want) {
				t.Fatalf("%q not in output:\n%s", x.want, all)
			}
		})
	}
}
