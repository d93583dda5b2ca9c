package limit

import "time"

// FIFO is a first-in, first-out queue with limits on the running and the waiting tickets.
type FIFO struct {
	maxRunning, maxWaiting int
	active                 map[uint64]bool
	queue                  []Ticket
}

// NewFIFO returns a queue with at most the given numbers of running and
// waiting tickets.
func NewFIFO(running, waiting int) *FIFO {
	return &FIFO{maxRunning: running, maxWaiting: waiting, active: make(map[uint64]bool)}
}

// Submit runs the ticket, queues it, or refuses it when the queue is full.
func (q *FIFO) Submit(_ time.Time, t Ticket) Decision {
	if len(q.active) < q.maxRunning {
		q.active[t.ID] = true
		return Decision{Verdict: Run}
	}
	if len(q.queue) < q.maxWaiting {
		q.queue = append(q.queue, t)
		return Decision{Verdict: Wait}
	}
	return Decision{Verdict: Refuse, RetryAfter: time.Second}
}

// Finish removes a running ticket and starts the next waiting one.
func (q *FIFO) Finish(_ time.Time, id uint64) []uint64 {
	delete(q.active, id)
	if len(q.queue) == 0 || len(q.active) >= q.maxRunning {
		return nil
	}
	next := q.queue[0].ID
	q.queue = q.queue[1:]
	q.active[next] = true
	return []uint64{next}
}

// Cancel removes a waiting ticket.
func (q *FIFO) Cancel(_ time.Time, id uint64) {
	q.remove(func(t Ticket) bool { return t.ID == id })
}

// Expire removes and returns the tickets whose deadline has passed.
func (q *FIFO) Expire(now time.Time) []uint64 {
	return q.remove(func(t Ticket) bool { return !t.Deadline.IsZero() && now.After(t.Deadline) })
}

func (q *FIFO) remove(matches func(Ticket) bool) []uint64 {
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
