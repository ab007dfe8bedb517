package fake

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that its sender cuts off and that counts as broken off by the server, which would excuse the sender.
func TestRunThatItsSenderCancelsIsNotBrokenOff(t *testing.T) {
	is := is.New(t)
	s, err := NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), RoutedConfig{
		Delay: time.Minute, Faults: RoutedFaults{ResetAfterRun: 1},
	})
	is.NoErr(err)
	defer s.Close()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Address().String())
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: r1\r\n\r\n")
	is.NoErr(err)
	canceled := func() bool { return len(s.Runs()) == 1 && s.Runs()[0].Canceled }
	for end := time.Now().Add(10 * time.Second); len(s.Runs()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	for end := time.Now().Add(10 * time.Second); !canceled() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(canceled())
	time.Sleep(20 * time.Millisecond) // the server sets BrokenOff after Canceled
	is.Equal(s.Runs()[0].BrokenOff, false)
}
