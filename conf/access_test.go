package conf

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a key that gives access to another caller's services, and against a key that stops working
// during rotation.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	d := exampleDocument(100)
	d.Callers[3].KeyHashes = append(d.Callers[3].KeyHashes, HashKey("new key"), "not hex")
	x := NewCallerIndex(d)
	for key, name := range map[string]string{"service-0": "service-0", "service-3": "service-3", "new key": "service-3"} {
		c, ok := x.Authenticate(key)
		is.True(ok)
		is.Equal(c.Name, name)
		is.True(c.Allows(name))
		is.True(!c.Allows("service-1"))
	}
	for _, key := range []string{"", "service-100", HashKey("service-0")} {
		_, ok := x.Authenticate(key)
		is.True(!ok)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	x := NewCallerIndex(exampleDocument(5000))
	for b.Loop() {
		if _, ok := x.Authenticate("service-4999"); !ok {
			b.Fatal("caller not found")
		}
	}
}

func ExampleDocument_Check() {
	d, err := ParseDocument([]byte(`{
		"Version": 1, "Preset": "ordinary",
		"Presets": [{"Name": "ordinary", "HedgeBudget": 0.02, "RetryBudget": 0.1, "QueueLimit": 100}],
		"FailureDomains": [{"Name": "Lukang", "Region": "tw-west", "State": "In"}],
		"Services": [{
			"Name": "ledger",
			"Kinds": [{"Name": "lookup", "Worth": 1, "MinCoverage": 1, "Idempotent": true, "MaxTimeout": "1s"}],
			"Servers": [{"Address": "127.0.0.1:21000", "FailureDomain": "Yilan", "Slots": 0, "ColdSlots": 1, "Connections": 25}],
			"Indexes": [{"Version": "v1", "Shards": [{"Name": "a", "Servers": ["127.0.0.1:21000"]}]}]
		}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(d.Check().Lines())
	// Output:
	// Services[0].Servers[0].FailureDomain: no failure domain has the name "Yilan"
	// Services[0].Servers[0].Slots: must be at least 1
}

func ExampleDiff() {
	older := &Document{Version: 1, Preset: "ordinary", FailureDomains: []FailureDomain{{Name: "Lukang", State: DomainIn}}}
	newer := &Document{Version: 2, Preset: "ordinary", FailureDomains: []FailureDomain{{Name: "Lukang", State: DomainOut}}}
	d := Diff(older, newer)
	fmt.Println(len(d.Services.Set), len(d.FailureDomains.Set))
	installed, err := d.Apply(older)
	fmt.Println(installed.DomainIn("Lukang"), err)
	// Output:
	// 0 1
	// false <nil>
}
