package cmd

import (
	"os"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
	"github.com/urfave/cli/v3"
)

// commonFlags are the settings of every process that serves.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		flag("id", "", "name of this process, unique in the fleet"),
		flag("listen", "127.0.0.1:0", "host:port to listen on"),
		flag("advertise", "", "host:port that others reach it at (the listener's, when empty)"),
		flag("region", "", "region that the process runs in"),
		flag("availability-zone", "", "availability zone that the process runs in"),
		flag("log-level", "info", "debug, info, warn or error"),
	}
}

// newLogger returns a logger whose lines start with the part's name.
func newLogger(s *settings, part string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	name := s.optional("log-level")
	allowed, err := level.Parse(strings.ToLower(name))
	if err != nil {
		s.found.Add("--log-level", "unknown level "+name, "debug, info, warn, error")
		allowed = level.InfoValue()
	}
	logger = level.NewFilter(level.NewInjector(logger, level.InfoValue()), level.Allow(allowed))
	return log.WithPrefix(logger, "part", part, "ts", log.DefaultTimestampUTC)
}

// incarnation returns a number that grows with each start of a process.
func incarnation() uint64 { return uint64(clock.WallClock.Now().UnixNano()) }
