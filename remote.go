package main

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/wire"
)

// tlsFlags holds the TLS flags of commands that connect to a node.
type tlsFlags struct {
	tls bool
	ca  string
}

func (x *tlsFlags) flags(f *ff.FlagSet) {
	f.BoolVar(&x.tls, 0, "tls", "connect with TLS")
	f.StringVar(&x.ca, 0, "ca", "", "PEM file of the certificate authority of the nodes; implies --tls")
}

// tlsConfig returns the TLS configuration, or nil for plain TCP.
func (x *tlsFlags) tlsConfig(s *cli) (*tls.Config, error) {
	if !x.tls && x.ca == "" {
		return nil, nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if x.ca == "" {
		return c, nil
	}
	b, err := s.readFile(x.ca)
	if err != nil {
		return nil, err
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(b) {
		return nil, errors.Newf("%s contains no valid PEM certificate", x.ca)
	}
	return c, nil
}

// callerFlags holds the flags of commands that act as a caller.
type callerFlags struct {
	tlsFlags
	addresses []string
	key       string
	kind      string
	timeout   time.Duration
	verbose   bool
}

func (x *callerFlags) flags(f *ff.FlagSet) {
	f.StringListVar(&x.addresses, 'a', "address", "callers' address of a node, repeatable (default: 127.0.0.1:7000)")
	f.StringVar(&x.key, 0, "key", "", "the caller's secret key; use ARBUTUSTHREAD_KEY to keep it out of the process list")
	f.StringVar(&x.kind, 'k', "kind", "", "kind of the request, as declared by the service")
	f.DurationVar(&x.timeout, 't', "timeout", 0, "timeout of the request; 0s means the timeout of the kind, at most 10s")
	f.BoolVar(&x.verbose, 'v', "verbose", "log each failed attempt to the standard error")
	x.tlsFlags.flags(f)
}

// defaultCallerAddress is the CallerAddress of the example settings.
const defaultCallerAddress = "127.0.0.1:7000"

func (x *callerFlags) client(s *cli) (*call.Client, error) {
	if x.key == "" {
		return nil, usagef("--key or ARBUTUSTHREAD_KEY is required")
	}
	if x.timeout < 0 {
		return nil, usagef("--timeout must not be negative")
	}
	config := call.Config{Key: x.key, KeyBatchSize: 1}
	if len(x.addresses) == 0 {
		x.addresses = []string{defaultCallerAddress}
	}
	for _, a := range x.addresses {
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, usagef("--address: %v", err)
		}
		config.Seeds = append(config.Seeds, p)
	}
	if x.verbose {
		config.Log = slog.New(slog.NewTextHandler(s.err, nil))
	}
	var err error
	if config.TLS, err = x.tlsConfig(s); err != nil {
		return nil, err
	}
	return call.New(config)
}

// outcomeError returns an error with the exit code for a request that was not answered.
func outcomeError(f *wire.Failure) error {
	if f.Outcome == wire.Unknown {
		return exitWith(exitUnknown, errors.Wrap(f, "unknown outcome"))
	}
	if f.NotRun {
		return exitWith(exitFailed, errors.Wrap(f, "refused, not run"))
	}
	return exitWith(exitFailed, errors.Wrap(f, "refused"))
}
