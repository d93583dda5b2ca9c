package limit

import "time"

// FirstCome is a first-in, first-out queue with limits on the running and the waiting tickets.
type FirstCome struct {
	running, waiting int
	active           map[uint64]bool
	queue            []Ticket
}

// NewFirstCome returns a queue with at most the given numbers of running and
// waiting tickets.
func NewFirstCome(running, waiting int) *FirstCome {
	return &FirstCome{running: running, waiting: waiting, active: make(map[uint64]bool)}
}

// Offer runs the ticket, queues it, or refuses it when the queue is full.
func (q *FirstCome) Offer(_ time.Time, t Ticket) Decision {
	if len(q.active) < q.running {
		q.active[t.ID] = true
		return Decision{Verdict: Run}
	}
	if len(q.queue) < q.waiting {
		q.queue = append(q.queue, t)
		return Decision{Verdict: Wait}
	}
	return Decision{Verdict: Refuse, RetryAfter: time.Second}
}

// Finish removes a running ticket and starts the next waiting one.
func (q *FirstCome) Finish(_ time.Time, id uint64) []uint64 {
	delete(q.active, id)
	if len(q.queue) == 0 || len(q.active) >= q.running {
		return nil
	}
	next := q.queue[0].ID
	q.queue = q.queue[1:]
	q.active[next] = true
	return []uint64{next}
}

// Leave removes a waiting ticket.
func (q *FirstCome) Leave(_ time.Time, id uint64) {
	q.remove(func(t Ticket) bool { return t.ID == id })
}

// Expire removes and returns the tickets whose deadline has passed.
func (q *FirstCome) Expire(now time.Time) []uint64 {
	return q.remove(func(t Ticket) bool { return !t.Deadline.IsZero() && now.After(t.Deadline) })
}

func (q *FirstCome) remove(matches func(Ticket) bool) []uint64 {
	var (
		kept    []Ticket
		removed []uint64
	)
	for _, t := range q.queue {
		if matches(t) {
			removed = append(removed, t.ID)
			continue
		}
		kept = append(kept, t)
	}
	q.queue = kept
	return removed
}
