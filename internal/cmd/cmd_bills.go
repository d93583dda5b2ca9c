package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"rosereach/io/operator"
)

// cmdBills exports bills.
func cmdBills() *command {
	return &command{
		name: "bills", short: "export bills in order",
		flags: operatorFlags(flag("after", "0", "sequence of the last bill that is known")),
		action: readAction(func(ctx context.Context, client operator.Client, after uint64) (any, error) {
			return client.Bills(ctx, after)
		}),
	}
}

func readAction(read func(context.Context, operator.Client, uint64) (any, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := newSettings(c)
		client, after := s.client(), uint64(s.number("after", 0, 1<<62))
		if err := s.err(); err != nil {
			return err
		}
		v, err := read(ctx, client, after)
		if err != nil {
			return err
		}
		return printJSON(v)
	}
}
