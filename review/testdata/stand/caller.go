package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Caller sends requests on one kept connection to a node.
type Caller struct {
	Address string
	Host    string
	conn    net.Conn
	in      *bufio.Reader
	// Used is the number of requests that were sent on the current connection.
	Used int
}

var lastID atomic.Int64

// NewID returns the ID of a new requester attempt.
func NewID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1)) }

// Answer is what a caller has received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Kept is set if the request was not the first one on its connection.
	Kept bool
	Err  error
}

// errNoConnection means that the connection could not be opened, so that nothing was sent.
var errNoConnection = errors.New("no connection")

// Sent reports whether the request was written to a connection.
func (a *Answer) Sent() bool { return !errors.Is(a.Err, errNoConnection) }

// Do sends a request and waits for its answer for up to wait.
func (c *Caller) Do(method, path, id string, body []byte, wait time.Duration) Answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return Answer{Err: fmt.Errorf("%w: %v", errNoConnection, err)}
		}
		c.conn, c.in, c.Used = conn, bufio.NewReader(conn), 0
	}
	a := Answer{Kept: c.Used > 0}
	c.Used++
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, c.Host, id, wait.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))
	if _, a.Err = io.WriteString(c.conn, b.String()); a.Err != nil {
		c.Close()
		return a
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		c.Close()
		return a
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	if a.Err != nil || resp.Close {
		c.Close()
	}
	return a
}

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Resolve asks a directory for the addresses of a host, for callers in a zone.
func Resolve(directory, host, zone string) ([]string, error) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + directory + "/v1/resolve?" + url.Values{
		"name": {host}, "region": {"mu-island"}, "zone": {zone},
	}.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("directory answered %d", resp.StatusCode)
	}
	return answer.Addresses, json.NewDecoder(resp.Body).Decode(&answer)
}
