package fake_test

import (
	"context"
	"fmt"

	"github.com/arbutusthread/arbutusthread/fake"
)

func ExampleStartFleet() {
	f, err := fake.StartFleet(context.Background(), fake.FleetConfig{Layout: fake.Layout{Services: 2, Servers: 3}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer f.Close()
	for _, v := range f.Document().Services {
		fmt.Println(v.Name, len(v.Servers), "servers", len(v.Indexes[0].Shards), "shards")
	}
	// Output:
	// service-0 3 servers 4 shards
	// service-1 3 servers 4 shards
}
