package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay returned with a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// usageDecayTime is the time constant of the exponential average of a
	// workspace's running tickets.
	usageDecayTime = 10 * time.Second

	// DefaultMaxWait keeps queues short: a longer queue does not increase the
	// utilization of the backend servers.
	DefaultMaxWait = 1 * time.Second

	// QueueLimitPerSlot is the default number of waiting tickets for each slot.
	QueueLimitPerSlot = 4

	// DefaultReserve is the default share of the slots reserved for workspaces
	// below their fair share.
	DefaultReserve = 0.25
)

type (
	// FairQueueConfig configures a FairQueue.
	FairQueueConfig struct {
		// Slots is the maximum number of running tickets.
		Slots int
		// QueueLimit is the maximum number of waiting tickets.
		QueueLimit int
		// MaxWait is the predicted wait beyond which a ticket of priority 0 or
		// less is refused; 0 for no limit.
		MaxWait time.Duration
		// Reserve is the share of the slots, 0 to 1, that only workspaces below
		// their fair share may take.
		Reserve float64
	}

	// FairQueue divides the slots among workspaces in proportion to their
	// weights, by start-time fair queueing, and serves a workspace's tickets by
	// priority. A ticket that is predicted to miss its deadline is refused when
	// it is submitted.
	FairQueue struct {
		cfg         FairQueueConfig
		virtualTime float64
		waiting     int
		flows       map[string]*flow
		running     map[uint64]runningTicket
		displaced   []uint64 // ids displaced from the full queue, not yet returned by Expire
		throughput  throughput
	}

	// flow holds the tickets of one workspace.
	flow struct {
		name          string
		weight        float64
		virtualFinish float64 // virtual time at which the last started ticket ends
		running       int
		tickets       []Ticket  // waiting, by priority and then in order of arrival
		usage         float64   // average number of running tickets
		usageUpdated  time.Time // when usage was last updated
	}

	// runningTicket records a running ticket for the usage and throughput estimates.
	runningTicket struct {
		flow      *flow
		cost      float64
		startedAt time.Time
	}
)

// NewFairQueue returns an empty queue.
func NewFairQueue(cfg FairQueueConfig) *FairQueue {
	return &FairQueue{cfg: cfg, flows: make(map[string]*flow), running: make(map[uint64]runningTicket)}
}

// SetSlots changes the maximum number of running tickets. Tickets that run
// already are not stopped.
func (q *FairQueue) SetSlots(n int) { q.cfg.Slots = max(n, 1) }

// Slots returns the maximum number of running tickets.
func (q *FairQueue) Slots() int { return q.cfg.Slots }

// MeanServiceTime returns the average time that a ticket runs, 0 while none has
// finished.
func (q *FairQueue) MeanServiceTime() time.Duration { return q.throughput.meanServiceTime() }

// Running returns the number of running tickets.
func (q *FairQueue) Running() int { return len(q.running) }

// Waiting returns the number of waiting tickets.
func (q *FairQueue) Waiting() int { return q.waiting }

// Submit runs the ticket, queues it, or refuses it with the time after which a
// similar ticket would be accepted.
func (q *FairQueue) Submit(now time.Time, t Ticket) Decision {
	f := q.flowFor(t)
	if len(f.tickets) == 0 && q.mayStart(now, f) {
		q.start(now, f, t)
		return Decision{Verdict: Run}
	}
	wait := q.predictWait(f, t)
	if excess := q.overrun(now, t, wait); excess > 0 {
		q.dropIdle(f)
		return Decision{Verdict: Refuse, RetryAfter: clampRetryAfter(excess)}
	}
	if q.waiting >= q.cfg.QueueLimit && !q.makeRoom(f, t) {
		q.dropIdle(f)
		return Decision{Verdict: Refuse, RetryAfter: clampRetryAfter(wait)}
	}
	f.insert(t)
	q.waiting++
	return Decision{Verdict: Wait}
}

// Finish removes a running ticket, starts the waiting tickets that fit and
// returns their ids.
func (q *FairQueue) Finish(now time.Time, id uint64) []uint64 {
	if s, ok := q.running[id]; ok {
		delete(q.running, id)
		s.flow.updateUsage(now)
		s.flow.running--
		q.throughput.record(now, s.cost, now.Sub(s.startedAt))
		q.dropIdle(s.flow)
	}
	return q.startNext(now)
}

// Cancel removes a waiting ticket.
func (q *FairQueue) Cancel(_ time.Time, id uint64) {
	for _, f := range q.flows {
		if i := slices.IndexFunc(f.tickets, func(t Ticket) bool { return t.ID == id }); i >= 0 {
			q.removeAt(f, i)
			q.dropIdle(f)
			return
		}
	}
}

// Expire removes the tickets whose deadline has passed. It returns them and
// those that were displaced from the full queue since the last call.
func (q *FairQueue) Expire(now time.Time) []uint64 {
	expired := q.displaced
	q.displaced = nil
	for _, f := range q.sortedFlows() {
		for i := len(f.tickets) - 1; i >= 0; i-- {
			if t := f.tickets[i]; !t.Deadline.IsZero() && now.After(t.Deadline) {
				expired = append(expired, t.ID)
				q.removeAt(f, i)
			}
		}
		q.dropIdle(f)
	}
	return expired
}

// startNext starts the waiting tickets that fit and returns their ids.
func (q *FairQueue) startNext(now time.Time) []uint64 {
	var ids []uint64
	for {
		f := q.nextFlow(now)
		if f == nil {
			return ids
		}
		t := q.removeAt(f, 0)
		q.start(now, f, t)
		ids = append(ids, t.ID)
	}
}

// nextFlow returns, of the flows whose next ticket may start now, the one with
// the earliest virtual start time, or nil.
func (q *FairQueue) nextFlow(now time.Time) *flow {
	var next *flow
	for _, f := range q.flows {
		if len(f.tickets) == 0 || !q.mayStart(now, f) {
			continue
		}
		if next == nil || cmp.Or(cmp.Compare(f.virtualFinish, next.virtualFinish), cmp.Compare(f.name, next.name)) < 0 {
			next = f
		}
	}
	return next
}

// mayStart reports whether a slot is free for the flow. The reserved slots are free
// only for flows below their share.
func (q *FairQueue) mayStart(now time.Time, f *flow) bool {
	if len(q.running) >= q.cfg.Slots {
		return false
	}
	reserve := int(q.cfg.Reserve * float64(q.cfg.Slots))
	return len(q.running) < q.cfg.Slots-reserve || q.isBelowShare(now, f)
}

// isBelowShare reports whether the flow's average usage is below its weighted
// share of the slots among the active flows, plus one slot. The average allows
// bursts, and the extra slot lets a workspace with a small share run at all;
// neither admits sustained overload.
func (q *FairQueue) isBelowShare(now time.Time, f *flow) bool {
	f.updateUsage(now)
	return f.usage < float64(q.cfg.Slots)*f.weight/q.activeWeight(f)+1
}

// IsBelowShare reports whether the workspace uses less than its fair share.
// Backend servers can prioritize such a workspace.
func (q *FairQueue) IsBelowShare(now time.Time, workspace string) bool {
	f, ok := q.flows[workspace]
	return !ok || q.isBelowShare(now, f)
}

// activeWeight returns the sum of the weights of f and of all flows with tickets.
func (q *FairQueue) activeWeight(f *flow) float64 {
	sum := f.weight
	for _, other := range q.flows {
		if other != f && other.running+len(other.tickets) > 0 {
			sum += other.weight
		}
	}
	return sum
}

// start runs the ticket and advances the virtual time.
func (q *FairQueue) start(now time.Time, f *flow, t Ticket) {
	begin := max(q.virtualTime, f.virtualFinish)
	q.virtualTime = begin
	f.virtualFinish = begin + t.cost()/f.weight
	f.updateUsage(now)
	f.running++
	q.running[t.ID] = runningTicket{flow: f, cost: t.cost(), startedAt: now}
}

// predictWait returns how long the ticket would wait: the time until the next slot
// is free, plus the shorter of two drain times. One is for the work ahead of the
// ticket in its flow, at the flow's share of the throughput; the other is for
// all waiting work, at the full throughput.
func (q *FairQueue) predictWait(f *flow, t Ticket) time.Duration {
	perSecond := q.throughput.perSecond(q.cfg.Slots)
	if perSecond <= 0 {
		return 0
	}
	ahead, all := max(f.virtualFinish-q.virtualTime, 0)*f.weight, 0.0
	for _, other := range q.flows {
		for _, w := range other.tickets {
			all += w.cost()
			if other == f && w.Priority >= t.Priority {
				ahead += w.cost()
			}
		}
	}
	own := ahead * q.activeWeight(f) / f.weight
	next := q.throughput.meanServiceTime() / time.Duration(max(q.cfg.Slots, 1))
	return next + time.Duration(min(own, all)/perSecond*float64(time.Second))
}

// overrun returns by how much the predicted wait exceeds the ticket's deadline or
// the queue's maximum wait. After that time a similar ticket would be accepted.
func (q *FairQueue) overrun(now time.Time, t Ticket, wait time.Duration) time.Duration {
	var excess time.Duration
	if !t.Deadline.IsZero() {
		excess = wait + q.throughput.serviceTime(t.cost()) - t.Deadline.Sub(now)
	}
	if q.cfg.MaxWait > 0 && t.Priority <= 0 {
		excess = max(excess, wait-q.cfg.MaxWait)
	}
	return excess
}

// makeRoom displaces the last ticket of the flow with the most waiting tickets
// for its weight, and reports whether it did. It does not when the new ticket
// would be that last one.
func (q *FairQueue) makeRoom(f *flow, t Ticket) bool {
	longest := f
	for _, other := range q.sortedFlows() {
		if other.normalizedLength() > longest.normalizedLength() {
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
	q.removeAt(longest, len(longest.tickets)-1)
	q.displaced = append(q.displaced, last.ID)
	if longest != f {
		q.dropIdle(longest)
	}
	return true
}

// removeAt removes a waiting ticket from its flow.
func (q *FairQueue) removeAt(f *flow, i int) Ticket {
	t := f.tickets[i]
	f.tickets = slices.Delete(f.tickets, i, i+1)
	q.waiting--
	return t
}

// flowFor returns the flow of the ticket's workspace, with the ticket's weight.
func (q *FairQueue) flowFor(t Ticket) *flow {
	f, ok := q.flows[t.Workspace]
	if !ok {
		f = &flow{name: t.Workspace, virtualFinish: q.virtualTime}
		q.flows[t.Workspace] = f
	}
	f.weight = float64(max(t.Weight, 1))
	return f
}

// dropIdle deletes a flow that has no tickets and whose virtual finish time has
// passed, so that a new flow would start at the same virtual time.
func (q *FairQueue) dropIdle(f *flow) {
	if f.running == 0 && len(f.tickets) == 0 && f.virtualFinish <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

func (q *FairQueue) sortedFlows() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b *flow) int { return cmp.Compare(a.name, b.name) })
	return flows
}

// updateUsage updates the average usage.
func (f *flow) updateUsage(now time.Time) {
	if !f.usageUpdated.IsZero() {
		decay := math.Exp(-now.Sub(f.usageUpdated).Seconds() / usageDecayTime.Seconds())
		f.usage = f.usage*decay + float64(f.running)*(1-decay)
	}
	f.usageUpdated = now
}

// insert places the ticket after those with the same or a higher priority.
func (f *flow) insert(t Ticket) {
	i := len(f.tickets)
	for i > 0 && f.tickets[i-1].Priority < t.Priority {
		i--
	}
	f.tickets = slices.Insert(f.tickets, i, t)
}

// normalizedLength returns the number of waiting tickets per unit of weight.
func (f *flow) normalizedLength() float64 { return float64(len(f.tickets)) / f.weight }

func (t Ticket) cost() float64 {
	if t.Cost <= 0 {
		return 1
	}
	return t.Cost
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
