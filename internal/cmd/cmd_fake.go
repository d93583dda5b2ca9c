package cmd

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/clock"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"rosereach/core/backend"
	"rosereach/core/version"
	"rosereach/internal/fake"
	"rosereach/internal/httpd"
)

// cmdFake returns the command that runs fakes of the systems that rosereach
// works with.
func cmdFake() *command {
	return &command{
		name: "fake", short: "run a fake of a system that rosereach works with",
		subs: []*command{
			{
				name: "engine", short: "a model engine", action: runFakeEngine,
				flags: append(announceFlags(),
					flag("versions", "", "loaded versions as model@version, comma-separated"),
					flag("step-time", "5ms", "duration of a step with an empty batch"),
					flag("step-per-sequence", "200us", "time that each sequence adds to a step"),
					flag("prefill-per-token", "50us", "prefill time for each prompt token that is not cached"),
					flag("cache-tokens", "100000", "capacity of the prefix cache, in tokens"),
					flag("load-lag", "1s", "age of load reports"),
					flag("order-key", "", "key that orders must carry (orders need no key when empty)"),
					boolFlag("ignore-fence", "accept orders with outdated fencing numbers too"),
					flag("resume-window", "500ms", "how long an answer is produced after its reader has disconnected"),
				),
			},
			{
				name: "service", short: "a plain service", action: runFakeService,
				flags: append(announceFlags(),
					flag("service", "", "name of the service"),
					flag("answer-delay", "", "delay between the work of a call and its answer (none when empty)"),
					boolFlag("past-deadline", "answer each call after its deadline"),
				),
			},
			{
				name: "rater", short: "a rating service", action: runFakeRater,
				flags: append(commonFlags(),
					flag("quality", "", "true quality as model@version=0.8, comma-separated"),
					flag("noise", "0.1", "standard deviation of a rating"),
					flag("rating-lag", "1m", "delay until a rating is available"),
					flag("seed", "1", "seed of the noise"),
				),
			},
			{
				name: "store", short: "a rate-limited weight store", action: runFakeStore,
				flags: append(commonFlags(),
					flag("loads-per-second", "1", "loads served per second"),
					flag("burst", "4", "loads served at once"),
					flag("load-time", "2s", "duration of a load"),
				),
			},
		},
	}
}

func announceFlags() []cli.Flag {
	return append(commonFlags(),
		flag("entries", "", "host:port of the entries to announce to, comma-separated"),
		flag("backend-key", "", "key to present to entries"),
		flag("capacity", "16", "maximum number of concurrent requests"),
	)
}

func runFakeEngine(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	cfg := fake.EngineConfig{
		ID: s.required("id"), Incarnation: incarnation(), Region: s.required("region"), Zone: s.required("availability-zone"),
		Versions: s.versionRefs("versions"), Capacity: int(s.number("capacity", 1, 4096)),
		CacheTokens: s.number("cache-tokens", 0, 1<<40), StepTime: s.duration("step-time"),
		StepPerSequence: s.duration("step-per-sequence"), PrefillPerToken: s.duration("prefill-per-token"),
		ResumeWindow: s.duration("resume-window"), LoadDelay: s.duration("load-lag"),
		HonorsFence: !c.Bool("ignore-fence"), OrderKey: s.optional("order-key"), Clock: clock.WallClock,
	}
	engine := fake.NewEngine(cfg)
	return serveAnnounced(ctx, s, engine.Handler(), engine.Announcement, engine.Run)
}

func runFakeService(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	behavior := fake.Behavior{PastDeadline: c.Bool("past-deadline")}
	if s.optional("answer-delay") != "" {
		behavior.Delay = s.duration("answer-delay")
	}
	svc := fake.NewService(fake.ServiceConfig{
		ID: s.required("id"), Incarnation: incarnation(), Region: s.required("region"), Zone: s.required("availability-zone"),
		Service: s.required("service"), Capacity: int(s.number("capacity", 1, 4096)), Behavior: behavior,
		Clock: clock.WallClock,
	})
	waitForCancel := func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
	return serveAnnounced(ctx, s, svc.Handler(), svc.Announcement, waitForCancel)
}

func runFakeRater(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	rater := fake.NewRater(fake.RaterConfig{
		Quality: s.qualities("quality"), Noise: s.ratio("noise"), Delay: s.duration("rating-lag"),
		Seed: uint64(s.number("seed", 0, 1<<62)), Clock: clock.WallClock,
	})
	return serveUnannounced(ctx, s, rater.Handler())
}

func runFakeStore(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	store := fake.NewStore(fake.StoreConfig{
		PerSecond: float64(s.number("loads-per-second", 1, 1000)), Burst: int(s.number("burst", 1, 1000)),
		LoadTime: s.duration("load-time"), Clock: clock.WallClock,
	})
	return serveUnannounced(ctx, s, store.Handler())
}

func serveUnannounced(ctx context.Context, s *settings, h http.Handler) error {
	listen := s.address("listen")
	if err := s.err(); err != nil {
		return err
	}
	l, err := httpd.Listen(ctx, listen)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return httpd.Serve(ctx, l, h)
}

func serveAnnounced(ctx context.Context, s *settings, h http.Handler, describe func(string) backend.Announcement, run func(context.Context) error) error {
	listen := s.address("listen")
	announcer := &fake.Announcer{Entries: s.addresses("entries"), Key: s.required("backend-key"), Clock: clock.WallClock}
	if err := s.err(); err != nil {
		return err
	}
	l, err := httpd.Listen(ctx, listen)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	advertised := cmp.Or(s.optional("advertise"), l.Addr().String())
	announcer.Describe = func() backend.Announcement { return describe(advertised) }
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return run(ctx) })
	g.Go(func() error { return announcer.Run(ctx) })
	g.Go(func() error { return httpd.Serve(ctx, l, h) })
	return g.Wait()
}

// versionRefs parses versions given as model@version, separated by commas.
func (s *settings) versionRefs(name string) []version.Ref {
	var refs []version.Ref
	for _, text := range strings.Split(s.required(name), ",") {
		ref, err := version.ParseRef(strings.TrimSpace(text))
		if err != nil {
			s.findings.Add("--"+name, err.Error(), "model@version, more than one with commas")
			continue
		}
		refs = append(refs, ref)
	}
	return refs
}

// qualities parses the true quality of versions, given as model@version=0.8 and
// separated by commas.
func (s *settings) qualities(name string) map[string]float64 {
	qualities := make(map[string]float64)
	for _, text := range strings.Split(s.required(name), ",") {
		var quality float64
		ref, number, _ := strings.Cut(text, "=")
		if _, err := fmt.Sscanf(number, "%g", &quality); err != nil || quality < 0 || quality > 1 {
			s.findings.Add("--"+name, "bad quality "+text, "model@version=0.8, more than one with commas")
			continue
		}
		qualities[strings.TrimSpace(ref)] = quality
	}
	return qualities
}
