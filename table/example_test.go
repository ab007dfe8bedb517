package table_test

import (
	"fmt"

	"github.com/arbutusthread/arbutusthread/table"
)

func ExampleTable_Match() {
	t := table.New(&table.Config{
		Routes: []table.Route{
			{Name: "stock", Host: "ledger.example", Prefix: "/stock/", Shards: []string{"soles-1", "soles-2"}},
			{Name: "orders", Host: "ledger.example", Prefix: "/", Targets: []table.Target{{Service: "orders", Weight: 1}}},
		},
		Services: []table.Service{{Name: "soles-1"}, {Name: "soles-2"}, {Name: "orders"}},
	})
	fmt.Println(t.Match("ledger.example", "/stock/camphor").Name)
	fmt.Println(t.Match("ledger.example:443", "/12").Name)
	fmt.Println(t.Match("other.example", "/12") == nil)
	// Output:
	// stock
	// orders
	// true
}
