package serve

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/arbutusthread/arbutusthread/wire"
)

// A body must not crash the decoder, and an accepted body must not change its meaning when it is encoded again for
// another node.
func FuzzCallerBody(f *testing.F) {
	f.Add(`{"RequestId":"r","Kind":"lookup","Query":"pairs","TopK":10,"Timeout":"55ms"}`)
	f.Add(`{"Key":"k","Kind":"order","Body":{"Pairs":1},"Timeout":"1s"}`)
	f.Add(`{"Kind":"lookup"} {"Kind":"lookup"}`)
	f.Add(`{"Timeout":55}`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, v := range []any{&wire.Query{}, &wire.Order{}} {
			if failure := decode(strings.NewReader(body), v); failure != nil {
				if !failure.NotRun || failure.Status() < 400 || failure.Status() > 499 {
					t.Fatalf("%q: %v", body, failure)
				}
				continue
			}
			raw, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			decoded := reflect.New(reflect.TypeOf(v).Elem()).Interface()
			if failure := decode(strings.NewReader(string(raw)), decoded); failure != nil {
				t.Fatalf("%q becomes %s: %v", body, raw, failure)
			}
			encoded, err := json.Marshal(decoded)
			if err != nil || string(raw) != string(encoded) {
				t.Fatalf("%s becomes %s: %v", raw, encoded, err)
			}
		}
	})
}
