package cmd

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/core/service"
)

// cmdService returns the command that manages plain services.
func cmdService() *command {
	return &command{
		name: "service", short: "define plain services",
		subs: []*command{{
			name: "set", short: "create or change a plain service", args: "NAME", action: setService,
			flags: changeFlags(
				flag("repeatable", "", "HTTP methods that may be repeated, comma-separated"),
				flag("unrepeatable", "", "HTTP methods that may not be repeated, comma-separated"),
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
