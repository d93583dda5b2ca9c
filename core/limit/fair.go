package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRetry and maxRetry bound the time after which a refused caller is
	// told to come back.
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second

	// usageMemory is how far back the use of a workspace is averaged.
	usageMemory = 10 * time.Second

	// DefaultMaxWait keeps queues short: what waits longer than that does not
	// make the backend servers busier.
	DefaultMaxWait = 1 * time.Second

	// WaitingPerSlot is how many tickets may wait for each slot.
	WaitingPerSlot = 4

	// DefaultReserve is the share of the slots kept for workspaces below their
	// fair share.
	DefaultReserve = 0.25
)

type (
	// FairConfig are the settings of a FairShare. Slots bounds what runs and
	// Waiting what waits; a ticket of no raised priority that is predicted to
	// wait longer than MaxWait, if that is set, is refused. Reserve is the share of the slots
	// that only workspaces below their fair share may take.
	FairConfig struct {
		Slots   int
		Waiting int
		MaxWait time.Duration
		Reserve float64
	}

	// FairShare shares the slots between workspaces in proportion to their
	// weights, by start-time fair queueing, and serves the higher priorities
	// of a workspace first. A ticket that is predicted to miss its deadline is
	// refused when it arrives.
	FairShare struct {
		cfg     FairConfig
		virtual float64
		waiting int
		flows   map[string]*flow
		running map[uint64]started
		pushed  []uint64
		pace    pace
	}

	// flow is one workspace's tickets. Finish is the virtual time at which its
	// last started ticket ends, usage the mean number of running tickets.
	flow struct {
		name    string
		weight  float64
		finish  float64
		running int
		tickets []Ticket
		usage   float64
		at      time.Time
	}

	started struct {
		flow *flow
		cost float64
		at   time.Time
	}
)

// NewFairShare returns an empty queue.
func NewFairShare(cfg FairConfig) *FairShare {
	return &FairShare{cfg: cfg, flows: make(map[string]*flow), running: make(map[uint64]started)}
}

// SetSlots changes how many tickets may run at once; none that runs is ended.
func (q *FairShare) SetSlots(n int) { q.cfg.Slots = max(n, 1) }

// Slots returns how many tickets may run at once.
func (q *FairShare) Slots() int { return q.cfg.Slots }

// Service returns how long a mean ticket takes once it runs.
func (q *FairShare) Service() time.Duration { return q.pace.mean() }

// Running returns the number of tickets that run.
func (q *FairShare) Running() int { return len(q.running) }

// Waiting returns the number of tickets that wait.
func (q *FairShare) Waiting() int { return q.waiting }

// Offer runs the ticket, lets it wait, or refuses it with the time after which
// it would be served.
func (q *FairShare) Offer(now time.Time, t Ticket) Decision {
	f := q.flowOf(t)
	if len(f.tickets) == 0 && q.mayStart(now, f) {
		q.start(now, f, t)
		return Decision{Verdict: Run}
	}
	wait := q.predict(f, t)
	if excess := q.excess(now, t, wait); excess > 0 {
		q.dropIdle(f)
		return Decision{Verdict: Refuse, RetryAfter: bounded(excess)}
	}
	if q.waiting >= q.cfg.Waiting && !q.makeRoom(f, t) {
		q.dropIdle(f)
		return Decision{Verdict: Refuse, RetryAfter: bounded(wait)}
	}
	f.insert(t)
	q.waiting++
	return Decision{Verdict: Wait}
}

// Finish ends a running ticket and starts those that fit.
func (q *FairShare) Finish(now time.Time, id uint64) []uint64 {
	if s, ok := q.running[id]; ok {
		delete(q.running, id)
		s.flow.average(now)
		s.flow.running--
		q.pace.finished(now, s.cost, now.Sub(s.at))
		q.dropIdle(s.flow)
	}
	return q.startNext(now)
}

// Leave takes a waiting ticket out.
func (q *FairShare) Leave(_ time.Time, id uint64) {
	for _, f := range q.flows {
		if at := slices.IndexFunc(f.tickets, func(t Ticket) bool { return t.ID == id }); at >= 0 {
			q.take(f, at)
			q.dropIdle(f)
			return
		}
	}
}

// Expire takes out the tickets whose deadline has passed and those that had
// to make room for a workspace below its share.
func (q *FairShare) Expire(now time.Time) []uint64 {
	gone := q.pushed
	q.pushed = nil
	for _, f := range q.sortedFlows() {
		for at := len(f.tickets) - 1; at >= 0; at-- {
			if t := f.tickets[at]; !t.Deadline.IsZero() && now.After(t.Deadline) {
				gone = append(gone, t.ID)
				q.take(f, at)
			}
		}
		q.dropIdle(f)
	}
	return gone
}

func (q *FairShare) startNext(now time.Time) []uint64 {
	var ids []uint64
	for {
		f := q.nextFlow(now)
		if f == nil {
			return ids
		}
		t := q.take(f, 0)
		q.start(now, f, t)
		ids = append(ids, t.ID)
	}
}

// nextFlow returns the waiting flow with the earliest virtual start that may
// start now, or nil.
func (q *FairShare) nextFlow(now time.Time) *flow {
	var next *flow
	for _, f := range q.flows {
		if len(f.tickets) == 0 || !q.mayStart(now, f) {
			continue
		}
		if next == nil || cmp.Or(cmp.Compare(f.finish, next.finish), cmp.Compare(f.name, next.name)) < 0 {
			next = f
		}
	}
	return next
}

func (q *FairShare) mayStart(now time.Time, f *flow) bool {
	if len(q.running) >= q.cfg.Slots {
		return false
	}
	reserve := int(q.cfg.Reserve * float64(q.cfg.Slots))
	return len(q.running) < q.cfg.Slots-reserve || q.isBelowShare(now, f)
}

// isBelowShare reports whether the flow's mean use is below its share of the
// slots, by weight among the flows that have work, and one slot. The mean lets
// a workspace have its bursts, and the slot lets a small one run at all, but
// neither lets in a flood.
func (q *FairShare) isBelowShare(now time.Time, f *flow) bool {
	f.average(now)
	return f.usage < float64(q.cfg.Slots)*f.weight/q.activeWeight(f)+1
}

// IsBelowShare reports whether the workspace uses less than its share.
// Backend servers can serve such a workspace first.
func (q *FairShare) IsBelowShare(now time.Time, workspace string) bool {
	f, ok := q.flows[workspace]
	return !ok || q.isBelowShare(now, f)
}

func (q *FairShare) activeWeight(f *flow) float64 {
	sum := f.weight
	for _, other := range q.flows {
		if other != f && other.running+len(other.tickets) > 0 {
			sum += other.weight
		}
	}
	return sum
}

func (q *FairShare) start(now time.Time, f *flow, t Ticket) {
	begin := max(q.virtual, f.finish)
	q.virtual = begin
	f.finish = begin + t.cost()/f.weight
	f.average(now)
	f.running++
	q.running[t.ID] = started{flow: f, cost: t.cost(), at: now}
}

// predict returns how long the ticket would wait: until the next slot is free,
// and then until its own flow's turn comes and what is ahead of it there is
// started, at the flow's share of the pace, or until all that waits is started
// at the whole pace.
func (q *FairShare) predict(f *flow, t Ticket) time.Duration {
	perSecond := q.pace.perSecond(q.cfg.Slots)
	if perSecond <= 0 {
		return 0
	}
	ahead, all := max(f.finish-q.virtual, 0)*f.weight, 0.0
	for _, other := range q.flows {
		for _, w := range other.tickets {
			all += w.cost()
			if other == f && w.Priority >= t.Priority {
				ahead += w.cost()
			}
		}
	}
	own := ahead * q.activeWeight(f) / f.weight
	next := q.pace.mean() / time.Duration(max(q.cfg.Slots, 1))
	return next + time.Duration(min(own, all)/perSecond*float64(time.Second))
}

// excess returns by how much the predicted wait is too long for the ticket's
// deadline or for the queue: after that time a like ticket would be served.
func (q *FairShare) excess(now time.Time, t Ticket, wait time.Duration) time.Duration {
	var excess time.Duration
	if !t.Deadline.IsZero() {
		excess = wait + q.pace.service(t.cost()) - t.Deadline.Sub(now)
	}
	if q.cfg.MaxWait > 0 && t.Priority <= 0 {
		excess = max(excess, wait-q.cfg.MaxWait)
	}
	return excess
}

// makeRoom pushes the last ticket of the flow with the most work for its
// weight out, unless the new ticket would be that last one.
func (q *FairShare) makeRoom(f *flow, t Ticket) bool {
	longest := f
	for _, other := range q.sortedFlows() {
		if other.length() > longest.length() {
			longest = other
		}
	}
	if len(longest.tickets) == 0 {
		return false
	}
	last := longest.tickets[len(longest.tickets)-1]
	if longest == f && last.Priority >= t.Priority {
		return false
	}
	q.take(longest, len(longest.tickets)-1)
	q.pushed = append(q.pushed, last.ID)
	if longest != f {
		q.dropIdle(longest)
	}
	return true
}

func (q *FairShare) take(f *flow, at int) Ticket {
	t := f.tickets[at]
	f.tickets = slices.Delete(f.tickets, at, at+1)
	q.waiting--
	return t
}

func (q *FairShare) flowOf(t Ticket) *flow {
	f, ok := q.flows[t.Workspace]
	if !ok {
		f = &flow{name: t.Workspace, finish: q.virtual}
		q.flows[t.Workspace] = f
	}
	f.weight = float64(max(t.Weight, 1))
	return f
}

// dropIdle forgets a flow that has nothing and whose last ticket's virtual
// end has passed.
func (q *FairShare) dropIdle(f *flow) {
	if f.running == 0 && len(f.tickets) == 0 && f.finish <= q.virtual {
		delete(q.flows, f.name)
	}
}

func (q *FairShare) sortedFlows() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b *flow) int { return cmp.Compare(a.name, b.name) })
	return flows
}

// average brings the mean use up to now.
func (f *flow) average(now time.Time) {
	if !f.at.IsZero() {
		keep := math.Exp(-now.Sub(f.at).Seconds() / usageMemory.Seconds())
		f.usage = f.usage*keep + float64(f.running)*(1-keep)
	}
	f.at = now
}

// insert puts the ticket behind those with the same or a higher priority.
func (f *flow) insert(t Ticket) {
	at := len(f.tickets)
	for at > 0 && f.tickets[at-1].Priority < t.Priority {
		at--
	}
	f.tickets = slices.Insert(f.tickets, at, t)
}

func (f *flow) length() float64 { return float64(len(f.tickets)) / f.weight }

func (t Ticket) cost() float64 {
	if t.Cost <= 0 {
		return 1
	}
	return t.Cost
}

func bounded(d time.Duration) time.Duration { return min(max(d, minRetry), maxRetry) }
