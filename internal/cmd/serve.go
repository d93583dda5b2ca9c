package cmd

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
	"github.com/urfave/cli/v3"

	"rosereach/core/overload"
	"rosereach/internal/httpd"
	"rosereach/internal/logs"
	"rosereach/internal/metrics"
)

const (
	// defaultMemoryMB is the memory of an instance that nothing else is known of.
	defaultMemoryMB = "512"

	// clientLimits are the notes on the limits of clients in the pages of the manual.
	clientLimits = `## Limits on clients

They hold at all ports together; docs/OPERATIONS.md says what follows from them.

| limit | value |
|---|---|
| memory for heads and bodies | 0.4 of what 0.7 of the instance's memory leaves beside 32 MiB; a quarter of it is for requests of up to 64 KiB |
| connections that others open | 0.45 of the descriptors beside 200, and a fifth of the same memory at 16 KiB each |
| head of a request | on the platform the configuration's, else 64 KiB, in 5 s |
| time for a body | on the platform the caller's deadline or the route's timeout; 30 s at other ports |
| time in which a client takes nothing of an answer | 30 s |

On the platform the settings name the memory and the descriptors, else --memory and the kernel's
limit of open files count.
`
)

// commonFlags returns the flags of every process that serves requests.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		flag("id", "", "name of this process, unique in the fleet"),
		flag("listen", "127.0.0.1:0", "host:port to listen on"),
		flag("advertise", "", "host:port at which others reach it (the listener's address when empty)"),
		flag("region", "", "region that the process runs in"),
		flag("availability-zone", "", "availability zone that the process runs in"),
		flag("log-level", "info", "debug, info, warn or error; debug also logs each decision about a request"),
		flag("log-budget", strconv.Itoa(logs.DefaultBytesPerSecond), "on the platform: maximum bytes of log lines per second"),
	}
}

// metricsFlag returns the flag of the separate metrics listener. It needs no key
// and is therefore restricted to loopback.
func metricsFlag() cli.Flag {
	return flag("metrics-listen", "", "loopback host:port to serve metrics on (none when empty)")
}

// memoryFlag returns the flag of the instance's memory.
func memoryFlag() cli.Flag {
	return flag("memory", defaultMemoryMB, "MB of memory of the instance, which bound what clients may take; on the platform the settings say")
}

// guard returns the guard of a process that runs without settings of the platform.
func (s *settings) guard(logger log.Logger) *httpd.Guard {
	return newGuard(s.number("memory", 64, math.MaxInt32)<<20, 0, clock.WallClock, logger)
}

// metricsListener opens the metrics listener. It returns nil when none is
// configured or when its address is invalid, which adds a finding.
func (s *settings) metricsListener(ctx context.Context) net.Listener {
	if s.optional("metrics-listen") == "" {
		return nil
	}
	address := s.address("metrics-listen")
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		s.findings.Add("--metrics-listen", "not on loopback: "+address, "127.0.0.1:PORT or [::1]:PORT")
		return nil
	}
	l, err := httpd.Listen(ctx, address)
	if err != nil {
		s.findings.Add("--metrics-listen", err.Error(), "an address that is free")
		return nil
	}
	return l
}

// newGuard returns the guard of a process on an instance with the given memory in bytes and number
// of descriptors, 0 for unknown. The kernel's limit of descriptors counts if it is lower.
func newGuard(memory int64, files int, c clock.Clock, logger log.Logger) *httpd.Guard {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		allowed := int(min(limit.Cur, math.MaxInt32))
		if files <= 0 || allowed < files {
			files = allowed
		}
	}
	return httpd.NewGuard(overload.LimitsFor(memory, files), c, logger)
}

// serveMetrics serves metrics until the context ends; without a listener it
// returns at once.
func serveMetrics(ctx context.Context, l net.Listener, h http.Handler, g *httpd.Guard) error {
	if l == nil {
		return nil
	}
	r := chi.NewRouter()
	r.Get(metrics.Path, h.ServeHTTP)
	return httpd.ServeGuarded(ctx, l, r, g)
}

// tlsFlags returns the TLS flags of a process that serves requests.
func tlsFlags() []cli.Flag {
	return []cli.Flag{
		flag("tls-cert", "", "PEM file of the listener's certificate (no TLS when empty)"),
		flag("tls-key", "", "PEM file of the certificate's private key"),
		caFlag(),
	}
}

func caFlag() cli.Flag {
	return flag("tls-ca", "", "PEM file of the trusted certificate authorities (no TLS when empty)")
}

// clientTLS returns the TLS configuration of a client that trusts the files'
// certificate authorities, nil without TLS.
func (s *settings) clientTLS(files httpd.TLSFiles) *tls.Config {
	config, err := files.ClientConfig()
	if err != nil {
		s.findings.Add("--tls-ca", err.Error(), "a PEM file of certificates")
	}
	return config
}

// tlsFiles reads and checks the TLS flags.
func (s *settings) tlsFiles() httpd.TLSFiles {
	f := httpd.TLSFiles{Cert: s.optional("tls-cert"), Key: s.optional("tls-key"), CA: s.optional("tls-ca")}
	s.findings = append(s.findings, f.Check()...)
	return f
}

// newLogger returns a logger to standard error whose lines start with the part's
// name.
func newLogger(s *settings, part string) log.Logger {
	return withLevel(s, part, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
}

// newBoundedLogger returns a logger to standard output that never blocks its
// caller and writes at most the flags' budget per second. Flush writes the
// pending lines, in the given time at most, and ends the logger.
func newBoundedLogger(ctx context.Context, s *settings, part string) (logger log.Logger, flush func(time.Duration)) {
	budget := int(s.number("log-budget", 1<<10, 1<<30))
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	bounded := logs.New(ctx, os.Stdout, clock.WallClock, budget)
	return withLevel(s, part, bounded), func(limit time.Duration) {
		cancel()
		bounded.Wait(limit)
	}
}

// withLevel adds the part's name and the time to a logger and drops lines below the
// configured level.
func withLevel(s *settings, part string, logger log.Logger) log.Logger {
	name := s.optional("log-level")
	allowed, err := level.Parse(strings.ToLower(name))
	if err != nil {
		s.findings.Add("--log-level", "unknown level "+name, "debug, info, warn, error")
		allowed = level.InfoValue()
	}
	logger = level.NewFilter(level.NewInjector(logger, level.InfoValue()), level.Allow(allowed))
	return log.WithPrefix(logger, "part", part, "ts", log.DefaultTimestampUTC)
}

// incarnation returns a number that increases with each start of a process.
func incarnation() uint64 { return uint64(clock.WallClock.Now().UnixNano()) }
