package entry

import (
	"crypto/rand"
	"fmt"
	"sync"
	"testing"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/io/caller"
)

// BenchmarkBegin delivers begin records to the ledger from a number of concurrent
// senders. A call that is not idempotent waits for this before its dispatch.
func BenchmarkBegin(b *testing.B) {
	for _, senders := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("senders=%d", senders), func(b *testing.B) {
			f := newFleet(b, 1)
			e := f.entries[0]
			for b.Loop() {
				var all sync.WaitGroup
				for range senders {
					all.Go(func() {
						record := ledger.Begin{
							Key: ledger.Key{Workspace: "terminalna", RequestID: rand.Text()}, Owner: e.owner(), At: time.Now(),
						}
						if _, err := e.ledgerBatcher.deliver(f.ctx, state.Command{Begin: &record}); err != nil {
							b.Error(err)
						}
					})
				}
				all.Wait()
			}
		})
	}
}

// BenchmarkResendElsewhere reports the time from the end of a request to the
// answer of its resend at another entry.
func BenchmarkResendElsewhere(b *testing.B) {
	f := newFleet(b, 2)
	f.startEngine("engine-1", 5*time.Millisecond)
	var sum, n time.Duration
	for b.Loop() {
		id := rand.Text()
		var (
			both  sync.WaitGroup
			ended [2]time.Time
		)
		for i := range ended {
			both.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				reply, err := f.client(i).Chat(f.ctx, chatOf(200), caller.CallOptions{RequestID: id})
				if err != nil || !reply.Complete {
					b.Errorf("entry %d: %+v, %v", i+1, reply.Problem, err)
				}
				ended[i] = time.Now()
			})
		}
		both.Wait()
		sum += ended[1].Sub(ended[0])
		n++
	}
	b.ReportMetric(float64((sum / n).Milliseconds()), "ms-behind")
}
