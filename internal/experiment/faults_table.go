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

	// pollPause is the interval between checks of a condition.
	pollPause = 10 * time.Millisecond

	// someBytes is the number of bytes after which a partial answer is
	// cut.
	someBytes = 700

	// quietTime is the idle time after which an answer counts as fully sent.
	quietTime = 30 * time.Millisecond
)

// faultTable returns all fault cases.
func faultTable() []faultCase {
	return []faultCase{
		{name: "none", allDone: true, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "entry killed", touches: true, inject: killEntry},
		{name: "engine killed", touches: true, inject: killEngine},
		{name: "backend reset before the first byte", touches: true, inject: atBackends(fault.Plan{ResetAfter: -1}, shortFault)},
		{name: "backend reset after some", touches: true, inject: atBackends(fault.Plan{ResetAfter: someBytes}, shortFault)},
		{name: "backend reset after all", inject: atBackends(fault.Plan{ResetQuiet: quietTime}, shortFault)},
		{name: "caller reset before the first byte", touches: true, inject: atEntries(fault.Plan{ResetAfter: -1}, shortFault)},
		{name: "caller reset after some", touches: true, inject: atEntries(fault.Plan{ResetAfter: someBytes}, shortFault)},
		{name: "caller reset after all", inject: atEntries(fault.Plan{ResetQuiet: quietTime}, shortFault)},
		{name: "answer past the deadline", touches: true, timeout: time.Second, inject: answerLate},
		{name: "entry cut from control", touches: true, inject: cutEntryFromControl},
		{name: "entry cut from backend servers", touches: true, inject: cutBackends},
		{name: "regions cut", touches: true, inject: cutRegions},
		{name: "control leader killed", touches: true, inject: restartLeader},
		{name: "control leader isolated", touches: true, inject: isolateLeader},
		{name: "second control lost after the first came back", touches: true, inject: loseTwo},
		{name: "entry drained", allDone: true, inject: drainEntry},
		{name: "backend servers leave", allDone: true, inject: leaveBackends},
		{name: "version withdrawn", touches: true, inject: withdrawVersion},
		{name: "same id at three entries", manner: load.Manner{Twins: 3}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "answers lost", touches: true, manner: load.Manner{LoseEvery: 2}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "answers lost under overload", touches: true, tight: true, manner: load.Manner{LoseEvery: 2}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "callers gone", touches: true, manner: load.Manner{LeaveAfter: 25 * time.Millisecond}, inject: func(context.Context, *faultTrial) error { return nil }},
		{name: "slow callers", allDone: true, manner: load.Manner{ReadPause: 5 * time.Millisecond}, inject: func(context.Context, *faultTrial) error { return nil }},
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

// atBackends applies a plan to the links between entries and backend
// servers for the duration.
func atBackends(p fault.Plan, duration time.Duration) func(context.Context, *faultTrial) error {
	return func(ctx context.Context, t *faultTrial) error {
		for _, s := range t.servers() {
			s.SetPlan(p)
			defer s.SetPlan(fault.Plan{})
		}
		return pause(ctx, duration)
	}
}

// atEntries applies a plan to the links between callers and entries for the
// duration.
func atEntries(p fault.Plan, duration time.Duration) func(context.Context, *faultTrial) error {
	return func(ctx context.Context, t *faultTrial) error {
		return during(ctx, duration, p, t.callerProxies())
	}
}

func (t *faultTrial) callerProxies() []*fault.Proxy {
	var proxies []*fault.Proxy
	for _, e := range t.cluster.Entries {
		proxies = append(proxies, e.Proxy)
	}
	return proxies
}

// during applies a plan to the proxies for the duration.
func during(ctx context.Context, duration time.Duration, p fault.Plan, proxies []*fault.Proxy) error {
	for _, proxy := range proxies {
		proxy.Set(p)
		defer proxy.Set(fault.Plan{})
	}
	return pause(ctx, duration)
}

// answerLate lets services answer after the request's deadline.
func answerLate(ctx context.Context, t *faultTrial) error {
	for _, s := range t.cluster.Services {
		s.Fake.Behave(fake.Behaviour{PastDeadline: true})
		defer s.Fake.Behave(fake.Behaviour{})
	}
	return pause(ctx, shortFault)
}

func cutEntryFromControl(ctx context.Context, t *faultTrial) error {
	return during(ctx, longFault, fault.Plan{Silent: true}, t.cluster.Entries[0].ControlProxies)
}

// cutBackends cuts one engine and one service off from all entries.
func cutBackends(ctx context.Context, t *faultTrial) error {
	engine, service := t.cluster.Engines[0], t.cluster.Services[0]
	return during(ctx, longFault, fault.Plan{Silent: true}, []*fault.Proxy{engine.NearProxy, engine.FarProxy, service.NearProxy, service.FarProxy})
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
	return during(ctx, longFault, fault.Plan{Silent: true}, links)
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
	t.cluster.IsolateControl(leader, fault.Plan{Silent: true})
	defer t.cluster.IsolateControl(leader, fault.Plan{})
	return pause(ctx, longFault)
}

// loseTwo restarts the leading control, then the next leader as soon
// as there is one.
func loseTwo(ctx context.Context, t *faultTrial) error {
	if err := restartLeader(ctx, t); err != nil {
		return err
	}
	for t.cluster.Leader() < 0 {
		if err := pause(ctx, pollPause); err != nil {
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
	t.evidence.Leaving[engine.ID] = now
	t.evidence.Leaving[service.ID] = now
	return nil
}

func withdrawVersion(ctx context.Context, t *faultTrial) error {
	at, err := t.cluster.Withdraw(ctx, cluster.Small2)
	t.evidence.Withdrawn[cluster.Small2] = at
	return err
}
