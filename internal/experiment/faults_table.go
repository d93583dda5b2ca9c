package experiment

import (
	"context"
	"time"

	"rosereach/internal/cluster"
	"rosereach/internal/fake"
	"rosereach/internal/fault"
	"rosereach/internal/load"
)

const (
	// shortFault is how long resets and late answers last.
	shortFault = 500 * time.Millisecond

	// longFault is how long network partitions last, longer than a serving lease.
	longFault = 4 * time.Second

	// controlOutage is how long a killed control stays down.
	controlOutage = 1500 * time.Millisecond

	// pollInterval is the interval between checks of a condition.
	pollInterval = 10 * time.Millisecond

	// partialAnswerBytes is the number of bytes after which a partial answer is
	// cut.
	partialAnswerBytes = 700

	// sentIdleTime is the idle time after which an answer counts as fully sent.
	sentIdleTime = 30 * time.Millisecond
)

// faultTable returns all fault cases.
func faultTable() []faultCase {
	return []faultCase{
		{name: "none", mustComplete: true, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "entry killed", mustAffect: true, inject: killEntry},
		{name: "engine killed", mustAffect: true, inject: killEngine},
		{name: "backend reset before the first byte", mustAffect: true, inject: onBackendLinks(fault.Plan{ResetAfterBytes: -1}, shortFault)},
		{name: "backend reset after some", mustAffect: true, inject: onBackendLinks(fault.Plan{ResetAfterBytes: partialAnswerBytes}, shortFault)},
		{name: "backend reset after all", inject: onBackendLinks(fault.Plan{ResetAfterIdle: sentIdleTime}, shortFault)},
		{name: "caller reset before the first byte", mustAffect: true, inject: onCallerLinks(fault.Plan{ResetAfterBytes: -1}, shortFault)},
		{name: "caller reset after some", mustAffect: true, inject: onCallerLinks(fault.Plan{ResetAfterBytes: partialAnswerBytes}, shortFault)},
		{name: "caller reset after all", inject: onCallerLinks(fault.Plan{ResetAfterIdle: sentIdleTime}, shortFault)},
		{name: "answer past the deadline", mustAffect: true, timeout: time.Second, inject: delayAnswers},
		{name: "entry cut from control", mustAffect: true, inject: cutEntryFromControl},
		{name: "entry cut from backend servers", mustAffect: true, inject: cutBackends},
		{name: "regions cut", mustAffect: true, inject: cutRegions},
		{name: "control leader killed", mustAffect: true, inject: restartLeader},
		{name: "control leader isolated", mustAffect: true, inject: isolateLeader},
		{name: "second control lost after the first came back", mustAffect: true, inject: restartTwoLeaders},
		{name: "entry drained", mustComplete: true, inject: drainEntry},
		{name: "backend servers leave", mustComplete: true, inject: leaveBackends},
		{name: "version withdrawn", mustAffect: true, inject: withdrawVersion},
		{name: "same id at three entries", callerBehavior: load.CallerBehavior{Copies: 3}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "answers lost", mustAffect: true, callerBehavior: load.CallerBehavior{DropEvery: 2}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "answers lost under overload", mustAffect: true, lowConcurrency: true, callerBehavior: load.CallerBehavior{DropEvery: 2}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "callers gone", mustAffect: true, callerBehavior: load.CallerBehavior{DisconnectAfter: 25 * time.Millisecond}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "slow callers", mustComplete: true, callerBehavior: load.CallerBehavior{ReadPause: 5 * time.Millisecond}, inject: func(context.Context, *faultTrial) error { return nil }},
	}
}

func killEntry(_ context.Context, t *faultTrial) error {
	t.cluster.Entries[0].Kill()
	return nil
}

func killEngine(_ context.Context, t *faultTrial) error {
	t.cluster.Engines[0].Kill()
	return nil
}

func (t *faultTrial) servers() []*cluster.Server {
	var servers []*cluster.Server
	for _, e := range t.cluster.Engines {
		servers = append(servers, &e.Server)
	}
	for _, s := range t.cluster.Services {
		servers = append(servers, &s.Server)
	}
	return servers
}

// onBackendLinks applies a plan to the links between entries and backend
// servers for the duration.
func onBackendLinks(p fault.Plan, duration time.Duration) func(context.Context, *faultTrial) error {
	return func(ctx context.Context, t *faultTrial) error {
		for _, s := range t.servers() {
			s.SetPlan(p)
			defer s.SetPlan(fault.Plan{})
		}
		return pause(ctx, duration)
	}
}

// onCallerLinks applies a plan to the links between callers and entries for the
// duration.
func onCallerLinks(p fault.Plan, duration time.Duration) func(context.Context, *faultTrial) error {
	return func(ctx context.Context, t *faultTrial) error {
		return withPlan(ctx, duration, p, t.callerProxies())
	}
}

func (t *faultTrial) callerProxies() []*fault.Proxy {
	var proxies []*fault.Proxy
	for _, e := range t.cluster.Entries {
		proxies = append(proxies, e.Proxy)
	}
	return proxies
}

// withPlan applies a plan to the proxies for the duration.
func withPlan(ctx context.Context, duration time.Duration, p fault.Plan, proxies []*fault.Proxy) error {
	for _, proxy := range proxies {
		proxy.SetPlan(p)
		defer proxy.SetPlan(fault.Plan{})
	}
	return pause(ctx, duration)
}

// delayAnswers lets services answer after the request's deadline.
func delayAnswers(ctx context.Context, t *faultTrial) error {
	for _, s := range t.cluster.Services {
		s.Fake.SetBehavior(fake.Behavior{PastDeadline: true})
		defer s.Fake.SetBehavior(fake.Behavior{})
	}
	return pause(ctx, shortFault)
}

func cutEntryFromControl(ctx context.Context, t *faultTrial) error {
	return withPlan(ctx, longFault, fault.Plan{Blackhole: true}, t.cluster.Entries[0].ControlProxies)
}

// cutBackends cuts one engine and one service off from all entries.
func cutBackends(ctx context.Context, t *faultTrial) error {
	engine, service := t.cluster.Engines[0], t.cluster.Services[0]
	return withPlan(ctx, longFault, fault.Plan{Blackhole: true}, []*fault.Proxy{engine.NearProxy, engine.FarProxy, service.NearProxy, service.FarProxy})
}

// cutRegions cuts the entries outside the first entry's region off from the
// controls, and all entries off from the backend servers of other regions.
func cutRegions(ctx context.Context, t *faultTrial) error {
	var links []*fault.Proxy
	for _, e := range t.cluster.Entries {
		if e.Location.Region != t.cluster.Entries[0].Location.Region {
			links = append(links, e.ControlProxies...)
		}
	}
	for _, s := range t.servers() {
		links = append(links, s.FarProxy)
	}
	return withPlan(ctx, longFault, fault.Plan{Blackhole: true}, links)
}

// restartLeader kills the leading control and restarts it after controlOutage.
func restartLeader(ctx context.Context, t *faultTrial) error {
	leader := t.cluster.Leader()
	t.cluster.KillControl(leader)
	if err := pause(ctx, controlOutage); err != nil {
		return err
	}
	return t.cluster.StartControl(t.running, leader) //nolint:contextcheck // the control outlives the load
}

// isolateLeader cuts the leading control off from all others. Its connections
// stay open but carry no bytes.
func isolateLeader(ctx context.Context, t *faultTrial) error {
	leader := t.cluster.Leader()
	t.cluster.IsolateControl(leader, fault.Plan{Blackhole: true})
	defer t.cluster.IsolateControl(leader, fault.Plan{})
	return pause(ctx, longFault)
}

// restartTwoLeaders restarts the leading control, then the next leader as soon
// as there is one.
func restartTwoLeaders(ctx context.Context, t *faultTrial) error {
	if err := restartLeader(ctx, t); err != nil {
		return err
	}
	for t.cluster.Leader() < 0 {
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return restartLeader(ctx, t)
}

func drainEntry(ctx context.Context, t *faultTrial) error {
	return t.cluster.Entries[0].Drain(ctx)
}

func leaveBackends(_ context.Context, t *faultTrial) error {
	engine, service := t.cluster.Engines[0], t.cluster.Services[0]
	engine.Fake.Leave()
	service.Fake.Leave()
	now := time.Now()
	t.evidence.LeavingAt[engine.ID] = now
	t.evidence.LeavingAt[service.ID] = now
	return nil
}

func withdrawVersion(ctx context.Context, t *faultTrial) error {
	at, err := t.cluster.Withdraw(ctx, cluster.Small2)
	t.evidence.WithdrawnAt[cluster.Small2] = at
	return err
}
