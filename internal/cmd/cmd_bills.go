package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"rosereach/core/ledger"
)

// cmdBills returns the command that exports bills.
func cmdBills() *command {
	return &command{
		name: "bills", short: "export bills in order", action: listBills,
		flags: operatorFlags(flag("after", "0", "sequence number of the last known bill")),
	}
}

func listBills(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	client, after := s.client(), uint64(s.number("after", 0, 1<<62))
	if err := s.err(); err != nil {
		return err
	}
	bills := []ledger.Bill{}
	for {
		page, err := client.Bills(ctx, after)
		if err != nil {
			return err
		}
		if len(page) == 0 {
			break
		}
		bills = append(bills, page...)
		after = page[len(page)-1].Sequence
	}
	out := newTable("BILL", "WORKSPACE", "REQUEST", "VERSION", "BACKEND SERVER", "INPUT TOKENS", "OUTPUT TOKENS", "PRICE", "AT")
	for _, b := range bills {
		served := b.Version.String()
		if b.Version.Model == "" {
			served = "none"
		}
		out.addRow(b.Sequence, b.Key.Workspace, b.Key.RequestID, served, b.Backend, b.Usage.InputTokens,
			b.Usage.OutputTokens, b.Price, b.At.UTC().Format(timeLayout))
	}
	return s.show(bills, out)
}
