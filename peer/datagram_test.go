package peer

import (
	"bytes"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var (
	senderAddr   = netip.MustParseAddrPort("127.0.0.1:7001")
	receiverAddr = netip.MustParseAddrPort("127.0.0.1:7002")
)

// Each kind of invalid datagram must be refused and counted by reason, and must not reach the state machine.
func TestBadDatagramsAreCounted(t *testing.T) {
	is := is.New(t)
	m := startNode(t, "a", func(c *Config) { c.Limits.SourceRate = 20 })
	to := m.Self().Address
	socket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	is.NoErr(err)
	defer socket.Close()
	from := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	good, err := sealDatagram(fleet.CBOR, testKey, from, to, &fleet.Message{Kind: fleet.KindAck, Incarnation: 1})
	is.NoErr(err)
	foreign, err := sealDatagram(fleet.CBOR, []byte("another key of 16 bytes"), from, to, &fleet.Message{Kind: fleet.KindAck})
	is.NoErr(err)
	redirected, err := sealDatagram(fleet.CBOR, testKey, from, receiverAddr, &fleet.Message{Kind: fleet.KindAck})
	is.NoErr(err)
	unknown, err := sealDatagram(fleet.CBOR, testKey, from, to, &fleet.Message{Kind: "Other"})
	is.NoErr(err)
	other := bytes.Clone(good)
	other[0]++
	for _, b := range [][]byte{
		good, foreign, redirected, unknown, other,
		good[:len(good)-1], good[:datagramHeaderBytes],
		{},
		append(bytes.Clone(good), make([]byte, maxDatagramBytes)...),
	} {
		_, err := socket.Write(b)
		is.NoErr(err)
	}
	counted := func() Counters {
		c := m.Counters()
		c.Sent, c.SentBytes = 0, 0
		return c
	}
	want := Counters{Received: 1, WrongKey: 3, Undecodable: 1, WrongProtocol: 1, WrongSize: 3}
	eventually(t, "all datagrams counted", func() bool { return counted() == want })
	for range 100 {
		_, err := socket.Write(foreign)
		is.NoErr(err)
	}
	eventually(t, "rate limited", func() bool { return counted().RateLimited > 0 })
}

// Nodes with different signing keys must be able to communicate as long as both accept both keys. This is the
// state during a key rotation.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	second := []byte("the second key of the fleet")
	old := startNode(t, "a", func(c *Config) { c.Keys = [][]byte{testKey, second} })
	fresh := startNode(t, "b", func(c *Config) { c.Keys = [][]byte{second, testKey} })
	is.NoErr(old.install(testDocument(3)))
	members := []*testNode{old, fresh}
	for _, m := range members {
		m.SetVMs(vmList(members))
	}
	eventually(t, "document installed on both nodes", func() bool { return fresh.Ready() && old.Ready() })
}

// A planned shutdown must be announced to the other node, and a note must be delivered with its body and expiry.
func TestNoteAndLeaveAreDelivered(t *testing.T) {
	is := is.New(t)
	events := make(chan fleet.Event, 1000)
	a := startNode(t, "a", nil)
	b := startNode(t, "b", func(c *Config) { c.OnEvent = func(e fleet.Event) { events <- e } })
	members := []*testNode{a, b}
	for _, m := range members {
		m.SetVMs(vmList(members))
	}
	eventually(t, "both nodes know each other", func() bool { return len(a.Members()) == 2 && len(b.Members()) == 2 })
	note := fleet.Note{ID: "n", Kind: "mark", Body: json.RawMessage(`{"Fingerprint":"f"}`), Expires: time.Now().Add(time.Hour).UTC()}
	is.NoErr(a.Publish(note))
	a.Leave(time.Time{})
	var got fleet.Note
	left := false
	for end := time.After(eventuallyTimeout); !left || got.ID == ""; {
		select {
		case e := <-events:
			if e.Kind == fleet.NoteReceived {
				got = e.Note
			}
			left = left || e.Kind == fleet.MemberLeaving && e.Member.Address == a.Self().Address
		case <-end:
			t.Fatal("note or MemberLeaving event was not delivered")
		}
	}
	is.Equal(string(got.Body), string(note.Body))
	is.True(got.Expires.Equal(note.Expires))
	is.True(a.Publish(fleet.Note{ID: strings.Repeat("x", 900), Expires: note.Expires}) != nil)
}

// During a rolling upgrade some nodes send JSON and some CBOR. Each node must decode both.
func TestMixedCodecsInteroperate(t *testing.T) {
	is := is.New(t)
	old := startNode(t, "a", func(c *Config) { c.Codec = fleet.JSON })
	fresh := startNode(t, "b", nil)
	is.NoErr(old.install(testDocument(3)))
	members := []*testNode{old, fresh}
	for _, m := range members {
		m.SetVMs(vmList(members))
	}
	eventually(t, "document installed on both nodes", func() bool { return fresh.Ready() && old.Ready() })
	for _, m := range members {
		is.Equal(m.Counters().Undecodable+m.Counters().WrongProtocol, uint64(0))
	}
}

// The tag must cover the protocol version. Otherwise an attacker could have a body decoded with the other codec.
func TestVersionIsSigned(t *testing.T) {
	is := is.New(t)
	for codec, other := range map[fleet.Codec]byte{fleet.CBOR: protocolJSON, fleet.JSON: protocolCBOR} {
		b, err := sealDatagram(codec, testKey, senderAddr, receiverAddr, &fleet.Message{Kind: fleet.KindAck, Incarnation: 1})
		is.NoErr(err)
		_, err = openDatagram([][]byte{testKey}, senderAddr, receiverAddr, b)
		is.NoErr(err)
		b[0] = other
		_, err = openDatagram([][]byte{testKey}, senderAddr, receiverAddr, b)
		is.True(errors.Is(err, errUnknownKey))
	}
}

// Datagrams without a valid tag must be refused, and no input may cause a panic.
func FuzzOpenDatagram(f *testing.F) {
	m := &fleet.Message{
		Kind: fleet.KindClaim, Incarnation: 5, Version: 7, Hash: "abcd",
		Leases:  []fleet.LeaseItem{{Service: "ledger", Slice: 1, Round: 9, Holder: receiverAddr}},
		Updates: []fleet.Update{{Member: fleet.Member{Address: senderAddr, FailureDomain: "a", State: fleet.StateAlive}}},
	}
	for _, codec := range []fleet.Codec{fleet.CBOR, fleet.JSON} {
		good, err := sealDatagram(codec, testKey, senderAddr, receiverAddr, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(good)
		f.Add(good[:40])
		f.Add(good[datagramHeaderBytes:])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := openDatagram([][]byte{testKey}, senderAddr, receiverAddr, b)
		if err == nil && !bytes.Equal(b[1:datagramHeaderBytes],
			datagramTag(b[0], testKey, senderAddr, receiverAddr, b[datagramHeaderBytes:])) {
			t.Fatalf("accepted without a valid tag: %+v", got)
		}
		// Sign the same bytes as a body, so that they also reach the decoders and the state machine.
		if len(b) == 0 || len(b) > fleet.MaxMessageBytes {
			return
		}
		for _, protocol := range []byte{protocolJSON, protocolCBOR} {
			signedBody := append(append([]byte{protocol}, datagramTag(protocol, testKey, senderAddr, receiverAddr, b)...), b...)
			got, err = openDatagram([][]byte{testKey}, senderAddr, receiverAddr, signedBody)
			if err != nil {
				continue
			}
			n := fleet.New(fleet.Config{
				Member: fleet.Member{Address: receiverAddr, FailureDomain: "a"}, Start: time.Unix(1, 0),
			}, time.Unix(1, 0))
			n.Handle(time.Unix(2, 0), senderAddr, got)
			n.Tick(time.Unix(3, 0))
		}
	})
}

// BenchmarkDatagram measures sealing and opening one datagram.
func BenchmarkDatagram(b *testing.B) {
	m := &fleet.Message{
		Kind: fleet.KindClaim, Incarnation: 1_800_000_000_000_000_000, Version: 100_000, Hash: "01234567",
		Leases: []fleet.LeaseItem{{Service: "workshop-ledger-1", Slice: 1, Round: 1e12, Held: true}},
	}
	b.ReportAllocs()
	for range b.N {
		d, err := sealDatagram(fleet.CBOR, testKey, senderAddr, receiverAddr, m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := openDatagram([][]byte{testKey}, senderAddr, receiverAddr, d); err != nil {
			b.Fatal(err)
		}
	}
}
