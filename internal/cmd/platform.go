package cmd

import (
	"context"
	"crypto/sha256"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/internal/httpd"
	"rosereach/platform"
)

const (
	// reloadInterval is how often the settings file is compared with what was
	// read, as it also changes without a signal.
	reloadInterval = 2 * time.Second

	// memoryShare is the share of a machine's memory from which the runtime
	// collects harder, so that a burst does not end the process.
	memoryShare = 0.7

	// listLife is how long callers may keep a list of entries. They may keep it
	// three times as long, and a planned stop waits for that.
	listLife = time.Second
)

// node holds the settings of a process on the platform, as they are now.
// Metrics is where metrics are shown, empty for nowhere; flush writes the last
// log lines.
type node struct {
	path      string
	logger    log.Logger
	clock     clock.Clock
	now       atomic.Pointer[platform.Settings]
	memberKey string
	metrics   string
	flush     func()
}

// isOnPlatform reports whether a platform gave this process its settings file.
func isOnPlatform() bool { return os.Getenv(platform.SettingsVariable) != "" }

func metricsPortFlag() cli.Flag {
	return flag("metrics-port", "0", "on the platform: port to show metrics on (nowhere, when 0)")
}

// startNode reads what both programs need: the members' key and the metrics'
// port from the flags, and the settings file.
func startNode(ctx context.Context, s *settings, part string) (*node, error) {
	logger, flush := newBoundedLogger(ctx, s, part)
	key, port := s.text("member-key"), s.number("metrics-port", 0, math.MaxUint16)
	if err := s.err(); err != nil {
		flush()
		return nil, err
	}
	n, err := openNode(logger)
	if err != nil {
		flush()
		return nil, err
	}
	n.memberKey, n.flush = key, flush
	if port != 0 {
		n.metrics = net.JoinHostPort(n.settings().IP, strconv.FormatInt(port, 10))
	}
	return n, nil
}

// serveMetrics shows metrics where the flags say, if they do, until the context
// ends.
func (n *node) serveMetrics(ctx context.Context, h http.Handler) error {
	if n.metrics == "" {
		return nil
	}
	l, err := httpd.Listen(ctx, n.metrics)
	if err != nil {
		return err
	}
	return serveUntil(ctx, l, h, noWait)
}

// openNode reads the settings file.
func openNode(logger log.Logger) (*node, error) {
	n := &node{path: os.Getenv(platform.SettingsVariable), logger: logger, clock: clock.WallClock}
	s, err := platform.ReadSettings(n.path)
	if err != nil {
		return nil, exit(exitSettings, err)
	}
	n.now.Store(&s)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	return n, nil
}

// settings returns the settings as they are now.
func (n *node) settings() platform.Settings { return *n.now.Load() }

// members returns where the controls of the settings serve members.
func (n *node) members() []string { return n.settings().Members() }

// regions returns the region of each availability zone.
func (n *node) regions() map[string]string { return n.settings().Regions }

// follow reads the settings again on SIGHUP and when the file changed, until
// the context ends. Settings with findings change nothing.
func (n *node) follow(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var read [sha256.Size]byte
	for {
		if sum, ok := n.sum(); ok && sum != read {
			read = sum
			n.reload()
		}
		select {
		case <-hangups:
		case <-n.clock.After(reloadInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *node) sum() ([sha256.Size]byte, bool) {
	data, err := os.ReadFile(n.path)
	if err != nil {
		level.Warn(n.logger).Log("msg", "Settings file cannot be read; the old settings stay.", "err", err)
		return [sha256.Size]byte{}, false
	}
	return sha256.Sum256(data), true
}

func (n *node) reload() {
	s, err := platform.ReadSettings(n.path)
	if err != nil {
		level.Error(n.logger).Log("msg", "Settings are wrong; the old ones stay.", "err", err)
		return
	}
	n.now.Store(&s)
	n.logger.Log("msg", "Settings are read.", "controls", len(s.Controls))
}

// listenAll opens a listener for each address, or none.
func listenAll(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := httpd.Listen(ctx, address)
		if err != nil {
			for _, open := range listeners {
				open.Close() //nolint:errcheck // the process ends with the first error
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// serveUntil serves until the context ends, within the bounds.
func serveUntil(ctx context.Context, l net.Listener, h http.Handler, t httpd.Times) error {
	err := httpd.ServeFor(ctx, l, h, t)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
