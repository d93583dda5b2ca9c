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

	"rosereach/core/drain"
	"rosereach/internal/httpd"
	"rosereach/internal/logs"
	"rosereach/platform"
)

const (
	// reloadInterval is how often the settings file is checked for changes, because
	// it may change without a signal.
	reloadInterval = 2 * time.Second

	// memoryLimitShare is the runtime's soft memory limit as a share of the machine's
	// memory: the garbage collector works harder near it, so that a burst does not
	// get the process killed.
	memoryLimitShare = 0.7

	// addressTTL is how long callers are told to cache the list of entries. They may
	// keep it for three times as long, and a planned stop waits for that.
	addressTTL = time.Second
)

// errOutlasted is the error of a process that ends beside parts that have not.
const errOutlasted = errors.ConstError("parts of the process did not end within the grace time")

// platformProcess is a process on the platform with its current settings. MetricsAddress is
// where metrics are served, empty for nowhere; flushLogs writes the last log lines.
type platformProcess struct {
	settingsPath   string
	logger         log.Logger
	clock          clock.Clock
	current        atomic.Pointer[platform.Settings]
	memberKey      string
	metricsAddress string
	guard          *httpd.Guard // of all listeners
	hangups        chan os.Signal
	flushLogs      func(limit time.Duration)
	stop           atomic.Pointer[drain.Schedule] // of its planned stop, nil before
}

// isOnPlatform reports whether the platform passed this process a settings file.
func isOnPlatform() bool { return os.Getenv(platform.SettingsVariable) != "" }

func metricsPortFlag() cli.Flag {
	return flag("metrics-port", "0", "on the platform: port to serve metrics on (none when 0)")
}

// startPlatformProcess reads what entries and controls both need: the member key and the
// metrics port from the flags, and the settings file.
func startPlatformProcess(ctx context.Context, s *settings, part string) (*platformProcess, error) {
	logger, flush := newBoundedLogger(ctx, s, part)
	key, port := s.required("member-key"), s.number("metrics-port", 0, math.MaxUint16)
	if err := s.err(); err != nil {
		flush(logs.FlushTimeout)
		return nil, err
	}
	p, err := openPlatformProcess(logger)
	if err != nil {
		flush(logs.FlushTimeout)
		return nil, err
	}
	p.memberKey, p.flushLogs = key, flush
	if port != 0 {
		p.metricsAddress = net.JoinHostPort(p.settings().IP, strconv.FormatInt(port, 10))
	}
	return p, nil
}

// serveMetrics serves metrics until the context ends, if the flags give a port for
// them.
func (p *platformProcess) serveMetrics(ctx context.Context, h http.Handler) error {
	if p.metricsAddress == "" {
		return nil
	}
	l, err := httpd.Listen(ctx, p.metricsAddress)
	if err != nil {
		return err
	}
	return p.serve(ctx, l, h)
}

// openPlatformProcess reads the settings file and sets the runtime's memory limit.
func openPlatformProcess(logger log.Logger) (*platformProcess, error) {
	p := &platformProcess{settingsPath: os.Getenv(platform.SettingsVariable), logger: logger, clock: clock.WallClock, hangups: make(chan os.Signal, 1)}
	signal.Notify(p.hangups, syscall.SIGHUP) // until the process ends, which the signal must not do
	s, err := platform.ReadSettings(p.settingsPath)
	if err != nil {
		return nil, withExitCode(exitSettings, err)
	}
	p.current.Store(&s)
	p.guard = newGuard(s.MemoryLimitBytes, s.MaxOpenFiles, p.clock, logger)
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimitBytes)))
	}
	return p, nil
}

// planStop returns the schedule of the planned stop, which begins with the first call.
func (p *platformProcess) planStop() drain.Schedule {
	schedule := drain.Settings{Grace: p.settings().Bounds.GracePeriod, ListLife: listLife}.Begin(p.clock.Now())
	p.stop.CompareAndSwap(nil, &schedule)
	return *p.stop.Load()
}

// runInTime runs the process until it has ended or, once the context has, its planned stop has to:
// what has not ended would be killed, with the last lines of the log.
func (p *platformProcess) runInTime(ctx context.Context, run func(ctx context.Context) error) error {
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	schedule := p.planStop()
	if schedule.ExitMargin() == 0 { // the settings have no grace time
		return <-ended
	}
	select {
	case err := <-ended:
		return err
	case <-p.clock.After(schedule.Leaves().Sub(p.clock.Now())):
	}
	level.Error(p.logger).Log("msg", "Process ends beside parts that have not ended.", "since", p.clock.Now().Sub(schedule.Signaled()))
	return errors.Trace(errOutlasted)
}

// logTime returns how long the last lines of the log may take, the given time at most.
func (p *platformProcess) logTime(limit time.Duration) time.Duration {
	if schedule := p.stop.Load(); schedule != nil && schedule.ExitMargin() > 0 {
		return min(schedule.LogTime(p.clock.Now()), limit)
	}
	return limit
}

// settings returns the current settings.
func (p *platformProcess) settings() platform.Settings { return *p.current.Load() }

// memberAddresses returns the addresses at which the controls of the settings serve
// member connections.
func (p *platformProcess) memberAddresses() []string { return p.settings().ControlMemberAddresses() }

// regions returns the region of each availability zone.
func (p *platformProcess) regions() map[string]string { return p.settings().Regions }

// watchSettings reloads the settings on SIGHUP and when the file has changed, until the
// context ends. Invalid settings leave the current ones unchanged.
func (p *platformProcess) watchSettings(ctx context.Context) error {
	var lastSum [sha256.Size]byte
	for {
		if sum, ok := p.settingsHash(); ok && sum != lastSum {
			lastSum = sum
			p.reload()
		}
		select {
		case <-p.hangups:
		case <-p.clock.After(reloadInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *platformProcess) settingsHash() ([sha256.Size]byte, bool) {
	data, err := os.ReadFile(p.settingsPath)
	if err != nil {
		level.Warn(p.logger).Log("msg", "Settings file cannot be read; keeping the current settings.", "err", err)
		return [sha256.Size]byte{}, false
	}
	return sha256.Sum256(data), true
}

func (p *platformProcess) reload() {
	s, err := platform.ReadSettings(p.settingsPath)
	if err != nil {
		level.Error(p.logger).Log("msg", "Settings are wrong; the old ones stay.", "err", err)
		return
	}
	p.current.Store(&s)
	p.logger.Log("msg", "Settings are read.", "controls", len(s.Controls))
}

// listenAll opens a listener for each address. On an error it closes those already
// open.
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

// serve serves until the context ends, without waiting for open requests.
func (p *platformProcess) serve(ctx context.Context, l net.Listener, h http.Handler) error {
	return serveUntil(ctx, l, httpd.Server{Handler: h, Timeouts: noWait, Guard: p.guard})
}

// serveUntil serves until the context ends. A closed server is not an error.
func serveUntil(ctx context.Context, l net.Listener, s httpd.Server) error {
	err := s.Serve(ctx, l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
