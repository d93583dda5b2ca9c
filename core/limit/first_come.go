package limit

import "time"

// FirstCome is a queue in order of arrival with a bound on what runs and what
// waits.
type FirstCome struct {
	running, waiting int
	active           map[uint64]bool
	queue            []Ticket
}

// NewFirstCome returns a queue that runs and holds at most the given numbers.
func NewFirstCome(running, waiting int) *FirstCome {
	return &FirstCome{running: running, waiting: waiting, active: make(map[uint64]bool)}
}

// Offer runs the ticket when there is room, lets it wait, or refuses it.
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

// Finish frees the ticket's place for the next one that waits.
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

// Leave takes a waiting ticket out.
func (q *FirstCome) Leave(_ time.Time, id uint64) {
	q.remove(func(t Ticket) bool { return t.ID == id })
}

// Expire takes out the tickets whose deadline has passed.
func (q *FirstCome) Expire(now time.Time) []uint64 {
	return q.remove(func(t Ticket) bool { return !t.Deadline.IsZero() && now.After(t.Deadline) })
}

func (q *FirstCome) remove(fits func(Ticket) bool) []uint64 {
	var (
		kept    []Ticket
		removed []uint64
	)
	for _, t := range q.queue {
		if fits(t) {
			removed = append(removed, t.ID)
			continue
		}
		kept = append(kept, t)
	}
	q.queue = kept
	return removed
}
