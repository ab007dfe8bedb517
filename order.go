package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/wire"
)

// maxOrderKeyLifetime is the maximum lifetime of an order key. It limits the resending of an order if the
// expiry of its key is not known.
const maxOrderKeyLifetime = time.Minute

// orderCommand places an order, resends it with its key, or looks up its outcome.
type orderCommand struct {
	*cli
	callerFlags
	resend string
	lookup string
}

func newOrder(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &orderCommand{cli: s}
	flags := ff.NewFlagSet("order").SetParent(parent)
	c.flags(flags)
	flags.StringVar(&c.resend, 0, "resend", "", "resend an order whose outcome is unknown, with its order key")
	flags.StringVar(&c.lookup, 0, "lookup", "", "look up the outcome of an order key without sending the order")
	return &ff.Command{
		Name:      "order",
		Usage:     "arbutusthread order [FLAGS] SERVICE [BODY]",
		ShortHelp: "place an order, which runs at most once",
		LongHelp: `BODY is JSON; "-" reads it from the standard input. Exits with 3 if the order may
have run. In that case use --lookup or --resend with the printed order key, and
do not place the order again.

Examples:
  arbutusthread order --key example-cooperatives --kind place-order workshop-ledger '{"Pairs": 12}'
  arbutusthread order --key example-cooperatives --lookup ORDERKEY workshop-ledger`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *orderCommand) exec(ctx context.Context, args []string) error {
	if c.lookup != "" && c.resend != "" {
		return usagef("--lookup and --resend are mutually exclusive")
	}
	if c.lookup != "" {
		return c.printOutcome(ctx, args)
	}
	if err := checkArgs(args, 2, 2, "SERVICE and BODY"); err != nil {
		return err
	}
	if c.kind == "" {
		return usagef("--kind is required")
	}
	body := []byte(args[1])
	if args[1] == "-" {
		b, err := c.readFile(args[1])
		if err != nil {
			return err
		}
		body = b
	}
	if !json.Valid(body) {
		return usagef("BODY is not JSON")
	}
	client, err := c.client(c.cli)
	if err != nil {
		return err
	}
	defer client.Close()
	o := call.Order{Kind: c.kind, Body: body, Timeout: c.timeout}
	if c.resend != "" {
		key := wire.OrderKey{Key: c.resend, Expires: time.Now().Add(maxOrderKeyLifetime)}
		return c.printResult(client.Resend(ctx, args[0], key, o))
	}
	return c.printResult(client.Order(ctx, args[0], o))
}

func (c *orderCommand) printOutcome(ctx context.Context, args []string) error {
	if err := checkArgs(args, 1, 1, "SERVICE"); err != nil {
		return err
	}
	client, err := c.client(c.cli)
	if err != nil {
		return err
	}
	defer client.Close()
	return c.printResult(client.Lookup(ctx, args[0], c.lookup))
}

// printResult prints the result. If there is an order key it is printed for every outcome, because it
// identifies the order in the records of the service.
func (c *orderCommand) printResult(r call.OrderResult) error {
	text := fmt.Sprintf("%s, order key %s\n", r.Outcome, r.Key)
	if r.Key == "" {
		text = fmt.Sprintf("%s, no order key\n", r.Outcome)
	}
	if len(r.Result) > 0 {
		text += string(r.Result) + "\n"
	}
	if err := c.print(r, text); err != nil {
		return err
	}
	if r.Failure != nil {
		return outcomeError(r.Failure)
	}
	return nil
}
