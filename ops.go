package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/wire"
)

// defaultOpsAddress is the OpsAddress of the example settings.
const defaultOpsAddress = "127.0.0.1:7200"

// maxOpsBytes is the maximum size of a response body, which limits memory use.
const maxOpsBytes = 64 << 20

// opsClient is a client of a node's operators' API and holds its flags.
type opsClient struct {
	tlsFlags
	address string
	timeout time.Duration
}

func (x *opsClient) flags(f *ff.FlagSet) {
	f.StringVar(&x.address, 0, "ops", defaultOpsAddress, "OpsAddress of the node")
	f.DurationVar(&x.timeout, 't', "timeout", 5*time.Second, "timeout of the request")
	x.tlsFlags.flags(f)
}

// get returns the JSON body of a GET request.
func (x *opsClient) get(ctx context.Context, s *cli, path string) (json.RawMessage, error) {
	address, err := netip.ParseAddrPort(x.address)
	if err != nil {
		return nil, usagef("--ops: %v", err)
	}
	config, err := x.tlsConfig(s)
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	ctx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+address.String()+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "request to node at %s", address)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxOpsBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read response of node at %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, opsFailure(address, response.StatusCode, b)
	}
	if !json.Valid(b) {
		return nil, errors.Newf("response of node at %s is not JSON", address)
	}
	return b, nil
}

func opsFailure(address netip.AddrPort, status int, b []byte) error {
	var f wire.Failure
	if json.Unmarshal(b, &f) == nil && f.Reason != "" {
		return errors.Wrapf(&f, "node at %s", address)
	}
	return errors.Newf("node at %s returned status %d", address, status)
}

// show prints the response to a GET request.
func (x *opsClient) show(ctx context.Context, s *cli, path string) error {
	b, err := x.get(ctx, s, path)
	if err != nil {
		return err
	}
	text, err := formatJSON(b)
	if err != nil {
		return err
	}
	return s.print(b, text)
}
