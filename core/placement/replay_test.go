package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/placement"
)

// replay simulates many entries that send prompts to engines, each of which reads
// one prompt at a time. An entry sees its own requests, and those of others only
// in the load that engines report with their answers.
type replay struct {
	entries, servers int
	perSecond        float64
	utilization      float64
	objective        time.Duration
	policy           placement.Priced
	random           *rand.Rand

	free    []time.Time
	ends    [][]time.Time
	views   []view
	pending events
}

type (
	// view is the state of one entry.
	view struct {
		tracker      *placement.Tracker
		latencyModel *placement.LatencyModel
		loads        []backend.Load
	}

	answer struct {
		at, sent      time.Time
		entry, server int
		predicted     placement.Estimate
	}

	events []answer
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(answer)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newReplay(policy placement.Priced) *replay {
	r := &replay{
		entries: 9, servers: 9, perSecond: 72, utilization: 0.85, objective: 2 * time.Second, policy: policy,
		random: rand.New(rand.NewPCG(1, 2)),
	}
	r.free, r.ends = make([]time.Time, r.servers), make([][]time.Time, r.servers)
	for range r.entries {
		r.views = append(r.views, view{
			tracker: placement.NewTracker(policy.Costs.PrefillPerToken), latencyModel: placement.NewLatencyModel(), loads: make([]backend.Load, r.servers),
		})
	}
	return r
}

// lateShare returns the share of requests whose first byte came after the
// objective. The first fifth of the time is warm-up and does not count.
func (r *replay) lateShare(length time.Duration) float64 {
	const meanTokens, spread = 2890.0, 1.0
	begin := time.Unix(1000, 0)
	perToken := r.utilization * float64(r.servers) / (r.perSecond * meanTokens)
	var all, late float64
	for now := begin; now.Before(begin.Add(length)); {
		now = now.Add(time.Duration(r.random.ExpFloat64() / r.perSecond * float64(time.Second)))
		r.answerUntil(now)
		tokens := min(meanTokens*math.Exp(spread*r.random.NormFloat64()-spread*spread/2), 39_600)
		took := r.send(now, r.random.IntN(r.entries), int64(tokens), time.Duration(tokens*perToken*float64(time.Second)))
		if now.Sub(begin) < length/5 {
			continue
		}
		all++
		if took > r.objective {
			late++
		}
	}
	return late / all
}

// send places a request and returns the time to its first byte.
func (r *replay) send(now time.Time, entry int, tokens int64, reading time.Duration) time.Duration {
	const group = "m"
	v := &r.views[entry]
	candidates := make([]placement.Candidate, r.servers)
	for i := range candidates {
		id := fmt.Sprint(i)
		candidates[i] = placement.Candidate{
			Server: backend.Announcement{ID: id, Capacity: 64, Load: v.loads[i]}, InFlight: v.tracker.InFlight(id),
			BacklogTokens: v.tracker.Backlog(now, id), SameRegion: true, SameZone: true,
			ExpectedTime: func(e placement.Estimate) time.Duration { return v.latencyModel.ExpectedTime(now, group, id, e) },
		}
	}
	d := placement.Demand{InputTokens: tokens, UnsharedTokens: tokens, Objective: r.objective}
	choice := r.policy.Choose(now, d, candidates, r.random)
	to := choice.Index
	end := r.free[to]
	if end.Before(now) {
		end = now
	}
	end = end.Add(reading)
	r.free[to] = end
	r.ends[to] = append(r.ends[to], end)
	perToken := r.policy.Costs.PrefillPerToken
	v.tracker.Start(now, fmt.Sprint(to), int64(v.latencyModel.PrefillTime(group, time.Duration(tokens)*perToken)/perToken))
	heap.Push(&r.pending, answer{at: end, sent: now, entry: entry, server: to, predicted: choice.Predicted})
	return end.Sub(now)
}

// answerUntil delivers the answers up to now to their entries.
func (r *replay) answerUntil(now time.Time) {
	for len(r.pending) > 0 && !r.pending[0].at.After(now) {
		a, ok := heap.Pop(&r.pending).(answer)
		if !ok {
			continue
		}
		v, id := &r.views[a.entry], fmt.Sprint(a.server)
		for len(r.ends[a.server]) > 0 && !r.ends[a.server][0].After(a.at) {
			r.ends[a.server] = r.ends[a.server][1:]
		}
		v.loads[a.server] = backend.Load{MeasuredAt: a.at, Queued: len(r.ends[a.server])}
		v.latencyModel.Observe(a.at, "m", id, a.predicted, a.at.Sub(a.sent))
		v.tracker.End(a.at, id)
	}
}

// Nine entries send long prompts to nine engines at 85% utilization, so that the
// queues hold mostly requests of other entries. Using the reported queue lengths
// has to halve the share of late answers at least.
func TestReportedQueuesReduceLateAnswers(t *testing.T) {
	blind := placement.NewPriced()
	blind.DelayPerQueued = 0
	without := newReplay(blind).lateShare(5 * time.Minute)
	with := newReplay(placement.NewPriced()).lateShare(5 * time.Minute)
	t.Logf("late: %.4f without, %.4f with", without, with)
	if with > without/2 {
		t.Fatalf("late: %.4f of the requests with reported queue lengths, %.4f without", with, without)
	}
}
