package cmd

import (
	"os"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
	"github.com/urfave/cli/v3"

	"rosereach/internal/httpd"
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

// tlsFlags are the settings for TLS of a process that serves.
func tlsFlags() []cli.Flag {
	return []cli.Flag{
		flag("tls-cert", "", "PEM file of the listener's certificate (plain connections, when empty)"),
		flag("tls-key", "", "PEM file of the certificate's key"),
		caFlag(),
	}
}

func caFlag() cli.Flag {
	return flag("tls-ca", "", "PEM file of the authorities to trust (plain connections, when empty)")
}

// tlsFiles reads the settings for TLS.
func (s *settings) tlsFiles() httpd.Files {
	f := httpd.Files{Cert: s.optional("tls-cert"), Key: s.optional("tls-key"), CA: s.optional("tls-ca")}
	s.found = append(s.found, f.Check()...)
	return f
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
