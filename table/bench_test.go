package table

import (
	"fmt"
	"strings"
	"testing"
)

// Measures the route of a request with the longest path that callers may send, of slashes only.
func BenchmarkMatchOfSlashes(b *testing.B) {
	c := &Config{Routes: []Route{{Name: "lookup", Host: "ledger.example", Prefix: "/lookup/"}}}
	for i := range 100 {
		c.Routes = append(c.Routes, Route{Host: "ledger.example", Prefix: fmt.Sprintf("/stock-%d/", i)})
	}
	t := New(c)
	path := "/lookup/" + strings.Repeat("/", DefaultHeaderBytes)
	for b.Loop() {
		if t.Match("ledger.example", path) == nil {
			b.Fatal("no route")
		}
	}
}
