package back

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fanOutShards is the number of shards of a benchmarked query.
	fanOutShards = 60
	fanOutAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 1008\r\nAnswer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
)

// serveShard answers each request on a connection with the same bytes, at the least cost.
func serveShard(c net.Conn, answer []byte) {
	r := bufio.NewReaderSize(c, 1<<10)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

func startShards(b *testing.B) []netip.AddrPort {
	answer := append([]byte(fanOutAnswer), make([]byte, 1008)...)
	var addresses []netip.AddrPort
	for range fanOutShards {
		l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveShard(c, answer)
			}
		}()
		addresses = append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses
}

func benchFanOut(b *testing.B, addresses []netip.AddrPort, send func(netip.AddrPort) error) {
	query := func() {
		var group sync.WaitGroup
		for _, a := range addresses {
			group.Go(func() {
				if err := send(a); err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
	}
	query()
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		query()
	}
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1000/float64(b.N*fanOutShards), "cpu-us/shard")
}

// BenchmarkForward measures a query to 60 shards whose servers run in this process and answer at once.
func BenchmarkForward(b *testing.B) {
	k := NewClient(Config{})
	b.Cleanup(k.Close)
	addresses := startShards(b)
	var servers []Server
	for _, a := range addresses {
		servers = append(servers, Server{Address: a})
	}
	k.SetServers(servers)
	benchFanOut(b, addresses, func(a netip.AddrPort) error {
		_, r := k.Forward(b.Context(), a, time.Now().Add(time.Second), &Forward{
			Method: http.MethodGet, URI: "/s/1/", Host: "a.example", RequestID: "9c41d07be2a35f68", Instance: "i-1",
		})
		if r.Outcome != OK {
			return errors.New(r.Message)
		}
		return nil
	})
}

// BenchmarkPlainForward measures the same query with net/http, as a baseline.
func BenchmarkPlainForward(b *testing.B) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	b.Cleanup(transport.CloseIdleConnections)
	benchFanOut(b, startShards(b), func(a netip.AddrPort) error {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/s/1/", nil)
		if err != nil {
			return err
		}
		r.Host = "a.example"
		r.Header["Request-Id"] = []string{"9c41d07be2a35f68"}
		r.Header["Request-Timeout"] = []string{"800"}
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
}
