package feed

import (
	"encoding/json"
	"testing"

	"github.com/arbutusthread/arbutusthread/table"
)

// Guards against deltas from another node that crash the node, revert its configuration to an older version or remove
// it.
func FuzzDelta(f *testing.F) {
	f.Add([]byte(`{"From":5,"To":7,"Changes":[{"Revision":6,"Server":{"Id":"a","Service":"s","Address":"127.0.0.1:1"}},{"Revision":7,"Removed":"a"}]}`))
	f.Add([]byte(`{"To":9,"Full":true,"Changes":[{"Revision":8,"Config":{"Version":2}},{"Revision":9,"Out":"lukang"}]}`))
	f.Add([]byte(`{"From":5,"To":8,"Changes":[{"Revision":8,"Patch":{"From":3,"To":4}}]}`))
	f.Add([]byte(`{"From":0,"To":8,"Lapsed":true,"Changes":[null,{},{"Revision":18446744073709551615,"In":""}]}`))
	f.Add([]byte(`{"From":5,"To":7,"Changes":[{"Revision":6,"Server":{"Id":"a","Service":"s","Address":"127.0.0.1:1","FailureDomain":"d","Slots":2,"Born":"9999-12-31T23:59:59Z"}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Delta
		if json.Unmarshal(b, &d) != nil {
			return
		}
		s := NewState()
		if _, err := s.Apply(epoch, Delta{To: 5, Full: true, Changes: []Change{{Revision: 5, Config: &table.Config{Version: 3}}}}); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Apply(epoch, d); err == nil && s.Revision() < 5 {
			t.Fatalf("revision %d after 5", s.Revision())
		}
		if s.Config() == nil || s.Config().Version < 3 {
			t.Fatalf("configuration %v after version 3", s.Config())
		}
		s.View(epoch)
		// What was accepted can be passed on.
		for _, after := range []Revision{0, 4} {
			sent, err := json.Marshal(s.Since(Position{Revision: after}))
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(sent, new(Delta)); err != nil {
				t.Fatal(err)
			}
		}
	})
}
