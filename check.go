package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Kinds of files.
const (
	kindSettings      = "settings"
	kindConfiguration = "configuration"
)

// checkCommand validates settings files and configuration documents and reports all faults.
type checkCommand struct {
	*cli
	kind string
}

// checkResult is the result for one file. Hash is set only for a valid configuration document.
type checkResult struct {
	File    string      `json:"File"`
	Kind    string      `json:"Kind"`
	Faults  conf.Faults `json:"Faults"`
	Hash    string      `json:"Hash,omitempty"`
	summary string
}

func newCheck(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &checkCommand{cli: s}
	flags := ff.NewFlagSet("check").SetParent(parent)
	flags.StringEnumVar(&c.kind, 0, "kind", "kind of the files: auto, settings or configuration", "auto", kindSettings, kindConfiguration)
	return &ff.Command{
		Name:      "check",
		Usage:     "arbutusthread check [FLAGS] FILE...",
		ShortHelp: "validate settings files and configuration documents",
		LongHelp: `Prints every fault with the path of its field. "-" reads the standard input.
Exits with 4 if a file is invalid.

Example:
  arbutusthread check sample/node.json sample/tw-west.json`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *checkCommand) exec(_ context.Context, args []string) error {
	if err := checkArgs(args, 1, math.MaxInt, "at least one FILE"); err != nil {
		return err
	}
	var all []checkResult
	var text strings.Builder
	invalid := 0
	for _, name := range args {
		b, err := c.readFile(name)
		if err != nil {
			return err
		}
		r, err := c.checkFile(name, b)
		if err != nil {
			return err
		}
		all = append(all, r)
		if len(r.Faults) == 0 {
			fmt.Fprintf(&text, "%s: valid %s\n", name, r.summary)
			continue
		}
		invalid++
		for _, f := range r.Faults {
			fmt.Fprintf(&text, "%s: %s\n", name, f)
		}
	}
	if err := c.print(all, text.String()); err != nil {
		return err
	}
	if invalid > 0 {
		return exitWith(exitInvalid, errors.Newf("%d of %d files are invalid", invalid, len(all)))
	}
	return nil
}

func (c *checkCommand) checkFile(name string, b []byte) (checkResult, error) {
	r := checkResult{File: name, Kind: c.kind, Faults: conf.Faults{}}
	if r.Kind == "auto" {
		r.Kind = detectKind(b)
	}
	var faults conf.Faults
	var err error
	if r.Kind == kindSettings {
		faults, err = r.checkSettings(b)
	} else {
		faults, err = r.checkDocument(b)
	}
	if err != nil && !errors.As(err, &faults) {
		return r, errors.Wrapf(err, "check %s", name)
	}
	r.Faults = append(r.Faults, faults...)
	return r, nil
}

func (r *checkResult) checkSettings(b []byte) (conf.Faults, error) {
	s, err := conf.ParseSettings(b)
	if err != nil {
		return nil, err
	}
	r.summary = fmt.Sprintf("settings of node %s in %s", s.Name, s.FailureDomain)
	return s.Check(), nil
}

func (r *checkResult) checkDocument(b []byte) (conf.Faults, error) {
	d, err := conf.ParseDocument(b)
	if err != nil {
		return nil, err
	}
	faults := d.Check()
	if len(faults) > 0 {
		return faults, nil
	}
	r.Hash = conf.Hash(d)
	servers := 0
	for _, s := range d.Services {
		servers += len(s.Servers)
	}
	r.summary = fmt.Sprintf("configuration, version %d, preset %s, %d services, %d servers, hash %s",
		d.Version, d.Preset, len(d.Services), servers, r.Hash)
	return nil, nil
}

// detectKind returns the kind of a file. Settings are recognized by their required fields, which
// configuration documents do not have.
func detectKind(b []byte) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return kindConfiguration
	}
	for _, name := range []string{"PeerAddress", "CallerAddress", "OpsAddress", "FleetKeys", "Platform"} {
		if _, ok := fields[name]; ok {
			return kindSettings
		}
	}
	return kindConfiguration
}
