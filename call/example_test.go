package call_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/wire"
)

func ExampleClient_Order() {
	client, err := call.New(call.Config{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7000")},
		Key:   "example-cooperatives",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	r := client.Order(context.Background(), "workshop-ledger", call.Order{
		Kind: "place-order", Body: json.RawMessage(`{"Pairs": 12}`),
	})
	switch r.Outcome {
	case wire.Answered:
		fmt.Println("placed:", string(r.Result))
	case wire.Refused:
		fmt.Println("not run, safe to retry:", r.Err())
	case wire.Unknown:
		fmt.Println("may have run, outcome from lookup:", client.Lookup(context.Background(), "workshop-ledger", r.Key).Outcome)
	}
}
