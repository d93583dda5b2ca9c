package cmd

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/urfave/cli/v3"

	"rosereach/core/lease"
	"rosereach/internal/control"
	"rosereach/internal/httpd"
)

// cmdControl returns the command that runs a control process, and its
// subcommands that manage the group of controls.
func cmdControl() *command {
	return &command{
		name: "control", short: "keep the replicated state and grant leases", action: runControl,
		flags: append(append(commonFlags(), tlsFlags()...),
			flag("data", "", "data folder, on a disk"),
			flag("peers", "", "initial controls of a group as id=host:port, comma-separated, with the addresses at which this control reaches them"),
			flag("join", "", "host:port of controls of a group to join, comma-separated"),
			boolFlag("standby", "wait with an empty data folder until \"control add\" adds this control to a group"),
			flag("member-key", "", "key shared by rosereach's processes"),
			flag("operator-key", "", "bootstrap key with all permissions, for use until operators have their own keys"),
			boolFlag("forget-quarantine", "start without what this control had listed as crashing backend servers"),
			metricsPortFlag(),
			memoryFlag(),
		),
		notes: clientLimits,
		subs:  []*command{cmdControlList(), cmdControlAdd(), cmdControlRemove()},
	}
}

func runControl(ctx context.Context, c *cli.Command) error {
	withServerSignals()
	if isOnPlatform() {
		return runPlatformControl(ctx, c)
	}
	ctx, cancel := stopAtHangup(ctx)
	defer cancel()
	s := newSettings(c)
	listen := s.address("listen")
	cfg := control.Config{
		ID: s.required("id"), Folder: s.required("data"), MemberKey: s.required("member-key"), OperatorKey: s.optional("operator-key"),
		Peers: s.peers("peers"), Join: s.optionalAddresses("join"), Standby: c.Bool("standby"), ForgetQuarantine: c.Bool("forget-quarantine"),
		Terms: lease.DefaultConfig(), Clock: clock.WallClock, Logger: newLogger(s, "control"),
	}
	files, guard := s.tlsFiles(), s.guard(cfg.Logger)
	cfg.TLS = s.clientTLS(files)
	if err := s.err(); err != nil {
		return err
	}
	l, err := httpd.Listen(ctx, listen)
	if err != nil {
		return err
	}
	cfg.Address = cmp.Or(s.optional("advertise"), l.Addr().String())
	node, err := control.Open(cfg)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	cfg.Logger.Log("msg", "Control serves.", "id", cfg.ID, "address", cfg.Address)
	return serveControl(ctx, cfg.Logger, node, part{"members", func(ctx context.Context) error {
		return httpd.ServeGuarded(ctx, files.WrapListener(l, cfg.Clock), node.Handler(), guard)
	}})
}

// serveControl runs the control until the context ends. The parts that serve it stay until node.Run
// has returned, because a leader that stops transfers the leadership first.
func serveControl(ctx context.Context, logger log.Logger, node *control.Node, parts ...part) error {
	err := runParts(ctx, logger, func(stopping, _ context.Context) error { return node.Run(stopping) }, parts...)
	logger.Log("msg", "Control stops.", "planned", ctx.Err() != nil, "err", err) //nolint:errcheck // nobody is left to tell
	return err
}

// peers parses a list of id=host:port, separated by commas.
func (s *settings) peers(name string) map[string]string {
	peers := make(map[string]string)
	for _, v := range strings.Split(s.optional(name), ",") {
		if v = strings.TrimSpace(v); v == "" {
			continue
		}
		id, address, _ := strings.Cut(v, "=")
		if _, _, err := net.SplitHostPort(address); err != nil || id == "" {
			s.findings.Add("--"+name, "bad peer "+strconv.Quote(v), "id=host:port, more than one with commas")
			continue
		}
		peers[id] = address
	}
	return peers
}

// optionalAddresses parses a list of addresses that may be empty.
func (s *settings) optionalAddresses(name string) []string {
	if s.optional(name) == "" {
		return nil
	}
	return s.addresses(name)
}
