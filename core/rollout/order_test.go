package rollout_test

import (
	"slices"
	"testing"
	"time"

	"rosereach/core/encoding"
	"rosereach/core/rollout"
)

const duration = 20 * time.Second

func order(stage rollout.Stage) rollout.Order {
	return rollout.Order{Service: "s", Target: "v2", Duration: duration, Stage: stage}
}

// next returns the stage that is due and its reason. An operator allows 15% of the
// requests.
func next(o rollout.Order, elapsed time.Duration, tallies ...rollout.Tally) (rollout.Stage, string) {
	m := &rollout.Monitor{}
	m.Observe(o, []rollout.Report{{Entry: "entry", Tallies: tallies}})
	move := o.Next(elapsed, m, rollout.Budget{Share: 0.15})
	return move.Stage, move.Reason
}

// expected is the expected time to the first byte.
const expected = 100 * time.Millisecond

// tally counts n attempts, of which every failEvery-th fails. Their answers take
// between ms milliseconds and 1.8 times that.
func tally(release, route string, n, failEvery int, ms float64) rollout.Tally {
	t := rollout.Tally{Service: "s", Release: release, Route: route}
	for i := range n {
		jitter := 1 + 0.2*float64(i%5)
		t = t.WithAttempt(failEvery > 0 && i%failEvery == 0, time.Duration(ms*jitter*float64(time.Millisecond)), expected)
	}
	return t
}

// coldTally counts n attempts at servers with empty caches. They take 160 to 288
// ms, and 160 ms are expected. The relative jitter is that of tally.
func coldTally(release, route string, n int) rollout.Tally {
	t := rollout.Tally{Service: "s", Release: release, Route: route}
	for i := range n {
		jitter := 1 + 0.2*float64(i%5)
		t = t.WithAttempt(false, time.Duration(160*jitter*float64(time.Millisecond)), 160*time.Millisecond)
	}
	return t
}

// partlySlow counts n attempts, of which every slowEvery-th takes eight times as
// long.
func partlySlow(release, route string, n, slowEvery int) rollout.Tally {
	t := rollout.Tally{Service: "s", Release: release, Route: route}
	for i := range n {
		took := expected
		if i%slowEvery == 0 {
			took *= 8
		}
		t = t.WithAttempt(false, took, expected)
	}
	return t
}

func TestGoodRolloutCompletesInTime(t *testing.T) {
	o := order(rollout.StageOrdered)
	good := []rollout.Tally{tally("v1", "r", 300, 50, 100), tally("v2", "r", 30, 30, 110)}
	var stages []rollout.Stage
	for at := time.Duration(0); at < duration; at += 200 * time.Millisecond {
		stage, _ := next(o, at, good...)
		if stage != o.Stage {
			if !o.MayMove(stage) {
				t.Fatalf("%s cannot move to %s", o.Stage, stage)
			}
			o.Stage = stage
			if o.TargetShare(0.15) > 0 && at < duration/2 {
				t.Fatal("sessions move in the first half")
			}
			stages = append(stages, stage)
		}
	}
	want := []rollout.Stage{rollout.StageCanary, rollout.StageSpread, rollout.StageFull, rollout.StageCompleted}
	if !slices.Equal(stages, want) {
		t.Fatalf("went through %v", stages)
	}
}

// A bad release whose fault is never detected must not get a larger share of all
// requests than the operator allows. The leader evaluates the roll-out every 200
// ms.
func TestExposureWithoutEvidence(t *testing.T) {
	good := []rollout.Tally{tally("v1", "r", 300, 50, 100), tally("v2", "r", 30, 30, 110)}
	// The end of a roll-out may be busier than its mean: the share is one of requests,
	// not of time.
	const interval, busier = 200 * time.Millisecond, 1.1
	for _, allowed := range []float64{0.12, 0.15} {
		for _, length := range []time.Duration{12 * time.Second, 16 * time.Second, 24 * time.Second} {
			o := order(rollout.StageOrdered)
			o.Duration = length
			var got float64
			for at := time.Duration(0); at < length; at += interval {
				o.Stage, _ = next(o, at, good...)
				requests := 1.0
				if at >= length*9/10 {
					requests = busier
				}
				got += requests * o.TargetShare(allowed) * interval.Seconds() / length.Seconds()
			}
			if o.Stage != rollout.StageCompleted || got > allowed {
				t.Errorf("%s, %.2f allowed: ends %s after a share of %.3f", length, allowed, o.Stage, got)
			}
		}
	}
}

// An operator asks for the state every half second, and an answer may be lost: a
// roll-out has to be complete for two questions before its time is over. The leader
// looks at it every 200 ms.
func TestCompletionIsSeenInTime(t *testing.T) {
	good := []rollout.Tally{tally("v1", "r", 300, 50, 100), tally("v2", "r", 30, 30, 110)}
	const interval, questions = 200 * time.Millisecond, time.Second
	for _, length := range []time.Duration{16 * time.Second, 24 * time.Second, time.Minute} {
		o := order(rollout.StageOrdered)
		o.Duration = length
		completed := time.Duration(0)
		for at := interval / 2; at < length && completed == 0; at += interval {
			if o.Stage, _ = next(o, at, good...); o.Stage == rollout.StageCompleted {
				completed = at
			}
		}
		if completed == 0 || length-completed < questions {
			t.Errorf("a roll-out of %s is complete after %s", length, completed)
		}
	}
}

// Replays the load of a canary whose engines read every prompt in full, while the
// old release finds six of ten tokens in its caches: once spread, no engine may have
// more to read than an old one has in its busiest tenth of the time, 1.3 times the mean.
// Before, each has the usual number of requests, so that faults under load show.
func TestColdCanaryIsNotOverloaded(t *testing.T) {
	const engines, tokensPerSecond, found, burst = 140, 4.3e6, 0.6, 1.3
	usual := tokensPerSecond * (1 - found) / engines
	share := rollout.CanaryShare(0.12)
	spread, canary := order(rollout.StageSpread), order(rollout.StageCanary)
	if got := tokensPerSecond * share / float64(spread.TargetServers(engines, share)); got > burst*usual {
		t.Errorf("a spread canary engine reads %.0f tokens a second, %.1f times the usual", got, got/usual)
	}
	if got := share / float64(canary.TargetServers(engines, share)); got < 1.0/engines {
		t.Errorf("a canary engine gets %.4f of the requests, less than its usual share", got)
	}
	for _, c := range []struct{ n, want int }{{1, 1}, {2, 2}, {9, 2}, {0, 0}} {
		if got := canary.TargetServers(c.n, share); got != c.want {
			t.Errorf("%d of %d servers are canaries, want %d", got, c.n, c.want)
		}
	}
	if full := order(rollout.StageFull); full.TargetServers(9, 1) != 9 {
		t.Error("not all servers serve once the target takes everything")
	}
}

func TestBadRolloutIsRolledBack(t *testing.T) {
	baseline := tally("v1", "a", 300, 50, 100)
	other := tally("v1", "b", 300, 0, 100)
	for name, tallies := range map[string][]rollout.Tally{
		"half of the requests fail":    {baseline, tally("v2", "a", 16, 2, 100)},
		"one route fails":              {baseline, other, tally("v2", "a", 12, 2, 100), tally("v2", "b", 60, 0, 100)},
		"answers are eight times slow": {baseline, tally("v2", "a", 12, 0, 800)},
		"half of the answers are slow": {baseline, partlySlow("v2", "a", 16, 2)},
		"a third of them, under load":  {partlySlow("v1", "a", 300, 12), partlySlow("v2", "a", 60, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			if stage, reason := next(order(rollout.StageCanary), duration/2, tallies...); stage != rollout.StageRolledBack || reason == "" {
				t.Fatalf("stage %s, reason %q", stage, reason)
			}
			if stage, _ := next(order(rollout.StageFull), duration*7/10, tallies...); stage != rollout.StageRolledBack {
				t.Fatalf("stage %s once it takes all", stage)
			}
		})
	}
}

// Neither a high failure rate that both releases share nor cold caches may roll a
// release back.
func TestUsualFaultsDoNotRollBack(t *testing.T) {
	for name, tallies := range map[string][]rollout.Tally{
		"usual failures":  {tally("v1", "a", 300, 7, 100), tally("v2", "a", 40, 7, 100)},
		"cold cache":      {tally("v1", "a", 300, 0, 100), coldTally("v2", "a", 40)},
		"slow under load": {partlySlow("v1", "a", 300, 8), partlySlow("v2", "a", 40, 7)},
		"one failure":     {tally("v1", "a", 300, 0, 100), tally("v2", "a", 1, 1, 100)},
	} {
		if stage, reason := next(order(rollout.StageCanary), duration*55/100, tallies...); stage != rollout.StageCanary {
			t.Errorf("%s: stage %s, %s", name, stage, reason)
		}
	}
}

// A target that gets none of a busy service's requests must not be completed. For
// an idle service there is no evidence to wait for.
func TestTargetWithoutRequestsIsNotCompleted(t *testing.T) {
	busy := []rollout.Tally{tally("v1", "a", 300, 0, 100)}
	o := order(rollout.StageCanary)
	for at := time.Duration(0); at < duration; at += 200 * time.Millisecond {
		if o.Stage, _ = next(o, at, busy...); o.Stage != rollout.StageCanary && o.Stage != rollout.StageSpread {
			t.Fatalf("stage %s after %s", o.Stage, at)
		}
	}
	for _, from := range []rollout.Stage{rollout.StageCanary, rollout.StageSpread} {
		if stage, _ := next(order(from), duration, busy...); stage != rollout.StageRolledBack {
			t.Fatalf("stage %s at the end, from %s", stage, from)
		}
	}
	if stage, _ := next(order(rollout.StageCanary), duration*97/100); stage != rollout.StageFull {
		t.Fatalf("stage %s of an idle service", stage)
	}
}

// The stages of an order late in its second came up to a second early, as a committed time
// has no fraction of a second: sessions moved in the first half, and the target had all
// requests for longer than the bound allows.
func TestRolloutBeginsWithItsOrder(t *testing.T) {
	const seenAfter = 40 * time.Millisecond
	for _, late := range []time.Duration{0, 300 * time.Millisecond, 660 * time.Millisecond, 990 * time.Millisecond} {
		at := time.Unix(1000, 0).Add(late)
		data, err := encoding.Marshal(at)
		if err != nil {
			t.Fatal(err)
		}
		o := order(rollout.StageOrdered)
		if err := encoding.Unmarshal(data, &o.Ordered); err != nil {
			t.Fatal(err)
		}
		if got := o.ElapsedWhenSeen(at.Add(seenAfter)); got > seenAfter {
			t.Errorf("ordered %s after a full second: begins at %s", late, got)
		}
		// A control that starts later may be ahead by the fraction, and must not be behind.
		if got := o.ElapsedWhenSeen(at.Add(duration / 2)); got < duration/2 {
			t.Errorf("ordered %s after a full second: %s at half of the time", late, got)
		}
	}
}

func TestResentOrderIsTheSame(t *testing.T) {
	o := order(rollout.StageRolledBack)
	o.Ordered = time.Unix(1000, 0)
	again := order(rollout.StageOrdered)
	again.Ordered = o.Ordered.Add(duration)
	if !o.IsSameOrder(again) {
		t.Fatal("a resend restarts the roll-out")
	}
	again.Ordered = o.Ordered.Add(10 * duration)
	if o.IsSameOrder(again) {
		t.Fatal("a much later order counts as a resend")
	}
}

// The servers of a release got no requests for most of a roll-out to that release, as there
// were no others to go to, and a roll-back would have taken all of them away.
func TestRolloutToTheOnlyReleaseKeepsItsServers(t *testing.T) {
	o, m := order(rollout.StageOrdered), &rollout.Monitor{}
	o.RolledBack = []string{"v3"}
	m.ObserveServers(o, []string{"v2", "v3", "v2"})
	m.Observe(o, []rollout.Report{{Entry: "entry", Tallies: []rollout.Tally{tally("v2", "r", 300, 3, 100)}}})
	var completed time.Duration
	for at := time.Duration(0); at <= duration && completed == 0; at += 200 * time.Millisecond {
		for range 3 { // a move is followed by the next one at once
			move := o.Next(at, m, rollout.Budget{Share: 0.15})
			if o.Changes(move) && !o.MayMove(move.Stage) {
				t.Fatalf("%s cannot move to %s", o.Stage, move.Stage)
			}
			o.Stage = move.Stage
		}
		if share := o.TargetShare(0.15); share != 1 {
			t.Fatalf("stage %s after %s: the only release gets %.2f of the requests", o.Stage, at, share)
		}
		if o.Stage == rollout.StageCompleted {
			completed = at
		}
	}
	if completed < duration/2 || completed > duration-time.Second {
		t.Errorf("completed after %s of %s, %s", completed, duration, o.Stage)
	}
}

// A target is not taken for the only release while the old one may come back, or as long as
// no server of the target is known.
func TestLostServersAreNoReasonToTakeAll(t *testing.T) {
	for name, c := range map[string]struct {
		releases []string
		tallies  []rollout.Tally
	}{
		"another release has a server": {releases: []string{"v2", "v1"}},
		"another release had requests": {[]string{"v2"}, []rollout.Tally{tally("v1", "r", 1, 0, 100)}},
		"no server is known":           {},
	} {
		o, m := order(rollout.StageOrdered), &rollout.Monitor{}
		m.ObserveServers(o, c.releases)
		m.Observe(o, []rollout.Report{{Entry: "entry", Tallies: c.tallies}})
		if move := o.Next(time.Second, m, rollout.Budget{Share: 0.15}); move.Stage != rollout.StageOrdered {
			t.Errorf("%s: moves to %s", name, move.Stage)
		}
	}
}
