package cmd

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/core/service"
)

// cmdService works with plain services.
func cmdService() *command {
	return &command{
		name: "service", short: "set plain services",
		subs: []*command{{
			name: "set", short: "describe a plain service", args: "NAME", action: setService,
			flags: changeFlags(
				flag("repeatable", "", "HTTP methods that may be repeated, with commas"),
				flag("unrepeatable", "", "HTTP methods that may not be repeated, with commas"),
			),
		}},
	}
}

func setService(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	svc := service.Service{
		Name: s.argument(0, "NAME"), Repeatable: s.methods("repeatable"), Unrepeatable: s.methods("unrepeatable"),
	}
	return s.change(ctx, change.PutService, svc.Name, svc)
}

func (s *settings) methods(name string) []string {
	var methods []string
	for _, m := range strings.Split(s.optional(name), ",") {
		if m = strings.ToUpper(strings.TrimSpace(m)); m != "" {
			methods = append(methods, m)
		}
	}
	return methods
}
