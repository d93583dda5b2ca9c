package health_test

import (
	"fmt"
	"testing"
	"time"

	"rosereach/core/health"
)

// Six of nine entries are partitioned from all servers. The others get answers from each now
// and then, and no server is reported as failing.
func TestCutOffEntriesConvictNoServer(t *testing.T) {
	p := health.NewPool()
	serviceOf := func(string) string { return "s" }
	at := time.Unix(1000, 0)
	report := func(entry int, servers []int, answers, unreachable uint32) {
		var samples []health.Sample
		for _, s := range servers {
			samples = append(samples, health.Sample{Server: fmt.Sprint("server-", s), Incarnation: 1, Answers: answers, Unreachable: unreachable, LoadAge: -1})
		}
		p.Add(at, fmt.Sprint("entry-", entry), samples)
	}
	verdicts := 0
	for n := range 100 {
		at = at.Add(100 * time.Millisecond)
		for entry := range 6 {
			report(entry, []int{(n + entry) % 12, (n + entry + 1) % 12, (n + entry + 2) % 12, (n + entry + 3) % 12}, 0, 1)
		}
		for entry := 6; entry < 9; entry++ {
			report(entry, []int{(n + 5*entry) % 12}, 1, 0)
		}
		verdicts += len(p.Verdicts(at, serviceOf))
	}
	if verdicts > 0 {
		t.Errorf("%d verdicts", verdicts)
	}
}

// Three servers of twelve end at once, and all entries report it while they get answers from
// the others: the three are reported.
func TestServersThatAllEntriesMissAreReported(t *testing.T) {
	p := health.NewPool()
	at := time.Unix(1000, 0)
	for entry := range 9 {
		var samples []health.Sample
		for s := range 12 {
			sample := health.Sample{Server: fmt.Sprint("server-", s), Incarnation: 1, Answers: 1, LoadAge: -1}
			if s < 3 {
				sample.Answers, sample.Unreachable = 0, 1
			}
			samples = append(samples, sample)
		}
		p.Add(at, fmt.Sprint("entry-", entry), samples)
	}
	if got := p.Verdicts(at, func(string) string { return "s" }); len(got) != 3 {
		t.Errorf("verdicts %+v", got)
	}
}

// A control gets a report a second from each of hundreds of entries.
func BenchmarkPoolAdd(b *testing.B) {
	p := health.NewPool()
	at := time.Unix(1000, 0)
	samples := make([]health.Sample, 40)
	for i := range samples {
		samples[i] = health.Sample{Server: fmt.Sprint("server-", i), Incarnation: 1, Answers: 1, LoadAge: -1}
	}
	for n := 0; b.Loop(); n++ {
		if n%360 == 0 {
			at = at.Add(time.Second)
			p.Verdicts(at, func(string) string { return "s" })
		}
		p.Add(at, fmt.Sprint("entry-", n%360), samples)
	}
}
