package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/placement"
)

func engines(n int) []placement.Candidate {
	var list []placement.Candidate
	for i := range n {
		list = append(list, placement.Candidate{
			Server: backend.Announcement{ID: fmt.Sprint("e", i), Capacity: 64}, SameRegion: true, SameZone: true,
		})
	}
	return list
}

var longRequest = placement.Demand{InputTokens: 9190, UnsharedTokens: 2890, OutputTokens: 52, Objective: 2 * time.Second, Bytes: 18_000}

func mostPicked(t *testing.T, list []placement.Candidate, d placement.Demand) int {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, len(list))
	for range 200 {
		counts[placement.NewPriced().Pick(time.Unix(1000, 0), d, list, random)]++
	}
	best := 0
	for i, n := range counts {
		if n > counts[best] {
			best = i
		}
	}
	return best
}

func TestHomeGetsTheRequestUntilItIsFull(t *testing.T) {
	list := engines(9)
	list[4].HomeRank, list[4].CachedShare = 1, 0.68
	list[2].HomeRank = 2
	if got := mostPicked(t, list, longRequest); got != 4 {
		t.Fatalf("picked %d, want the home", got)
	}
	list[4].InFlight, list[4].BacklogTokens = 60, 40_000
	if got := mostPicked(t, list, longRequest); got == 4 {
		t.Fatal("the home is picked although it is full")
	}
	list[4].InFlight, list[4].BacklogTokens = 0, 0
	list[4].ExpectedTime = func(e placement.Estimate) time.Duration { return 8 * (e.Own + e.Wait) }
	if got := mostPicked(t, list, longRequest); got == 4 {
		t.Fatal("the home is picked although it is slow")
	}
}

func TestNearServerIsPreferredWhileItIsInTime(t *testing.T) {
	list := engines(2)
	list[0].SameRegion, list[0].SameZone, list[0].NetworkLatency = false, false, 30*time.Millisecond
	list[1].InFlight = 10
	if got := mostPicked(t, list, longRequest); got != 1 {
		t.Fatal("picked the server in another region although the near one is in time")
	}
	list[1].InFlight, list[1].BacklogTokens = 64, 40_000
	if got := mostPicked(t, list, longRequest); got != 0 {
		t.Fatal("picked the near server although its answer would be late")
	}
}

// Removing a server moves only the prompt parts whose home it was.
func TestHomesAreStable(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	moved := 0
	for key := range uint64(1000) {
		before := ids[placement.RankHomes(key, ids, equalWeights(len(ids)), 1)[0]]
		after := ids[:8][placement.RankHomes(key, ids[:8], equalWeights(8), 1)[0]]
		if before != "i" && before != after {
			t.Fatalf("part %d moved from %s to %s", key, before, after)
		}
		if before == "i" {
			moved++
		}
	}
	if moved < 70 || moved > 160 {
		t.Fatalf("one of nine servers is home to %d of 1000 parts", moved)
	}
}

func TestServerRatioIsLearnedAndDecays(t *testing.T) {
	s := placement.NewLatencyModel()
	now := time.Unix(1000, 0)
	for range 40 {
		s.Observe(now, "m", "average", placement.Estimate{Own: 100 * time.Millisecond}, 100*time.Millisecond)
		s.Observe(now, "m", "slow", placement.Estimate{Own: 100 * time.Millisecond}, 500*time.Millisecond)
	}
	if slow, average := s.ServerRatio(now, "slow"), s.ServerRatio(now, "average"); slow < 2*average {
		t.Fatalf("ratios: slow server %.2f, average server %.2f", slow, average)
	}
	if got := s.ExpectedTime(now, "m", "slow", placement.Estimate{Own: 100 * time.Millisecond}); got < 400*time.Millisecond || got > 600*time.Millisecond {
		t.Fatalf("expected time at the slow server is %s, want about 500 ms", got)
	}
	if slow := s.ServerRatio(now.Add(time.Minute), "slow"); slow > 1.1 {
		t.Fatalf("ratio of the slow server is still %.2f after a minute", slow)
	}
}

// A constant overhead of each answer must be fitted as an offset, not as slow
// service of small requests.
func TestConstantOverheadIsFitted(t *testing.T) {
	s := placement.NewLatencyModel()
	now := time.Unix(1000, 0)
	for i := range 400 {
		predicted := time.Duration(20+i%10*60) * time.Millisecond
		s.Observe(now, "m", "e", placement.Estimate{Own: predicted}, 90*time.Millisecond+predicted/2)
	}
	for _, predicted := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond} {
		want := 90*time.Millisecond + predicted/2
		if got := s.ExpectedTime(now, "m", "e", placement.Estimate{Own: predicted}); got < want*8/10 || got > want*12/10 {
			t.Errorf("expected time %s, want %s", got, want)
		}
	}
}

// Time in a server's queue must not make the server look slow, nor increase the
// estimated time of the request itself.
func TestWaitIsFittedSeparately(t *testing.T) {
	s := placement.NewLatencyModel()
	now := time.Unix(1000, 0)
	took := func(e placement.Estimate) time.Duration { return 50*time.Millisecond + e.Own/3 + e.Wait*2 }
	for i := range 600 {
		e := placement.Estimate{Own: time.Duration(20+i%10*60) * time.Millisecond, Wait: time.Duration(i%4*100) * time.Millisecond}
		s.Observe(now, "m", "e", e, took(e))
	}
	if ratio := s.ServerRatio(now, "e"); ratio > 1.2 {
		t.Errorf("a server with a queue counts as %.2f times slower", ratio)
	}
	for _, e := range []placement.Estimate{{Own: 500 * time.Millisecond}, {Own: 50 * time.Millisecond, Wait: 300 * time.Millisecond}} {
		if got, want := s.ExpectedTime(now, "m", "e", e), took(e); got < want*8/10 || got > want*12/10 {
			t.Errorf("expected time %s for %+v, want %s", got, e, want)
		}
	}
}

// equalWeights returns the weights of average servers.
func equalWeights(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

// A fast server is the home of more parts than a slow one, in proportion to its weight, and a
// change of one weight moves only parts to or from that server.
func TestHomesFollowWeights(t *testing.T) {
	ids, weights := []string{"slow", "usual", "fast"}, []float64{0.6, 1, 1.6}
	changed := []float64{0.6, 1, 0.8}
	counts := map[string]int{}
	const parts = 20_000
	for key := range uint64(parts) {
		before := ids[placement.RankHomes(key, ids, weights, 1)[0]]
		counts[before]++
		if after := ids[placement.RankHomes(key, ids, changed, 1)[0]]; after != before && before != "fast" {
			t.Fatalf("part %d moves from %s to %s as another server turns slow", key, before, after)
		}
	}
	for i, id := range ids {
		want := weights[i] / 3.2
		if got := float64(counts[id]) / parts; math.Abs(got-want) > 0.02 {
			t.Errorf("%s is the home of %.3f of the parts, want %.3f", id, got, want)
		}
	}
}

// The lasting ratio of a server counts where it has not answered of late, and its own answers
// count for a while.
func TestRatioDecaysToLastingOne(t *testing.T) {
	m := placement.NewLatencyModel()
	m.SetLasting(func(server string) float64 { return map[string]float64{"slow": math.Log(2)}[server] })
	now := time.Unix(1000, 0)
	if got := m.ServerRatio(now, "slow"); math.Abs(got-2) > 1e-9 {
		t.Errorf("ratio of an unknown server %v", got)
	}
	for range 10 {
		m.Observe(now, "g", "slow", placement.Estimate{Own: 100 * time.Millisecond}, time.Second)
	}
	if got := m.ServerRatio(now, "slow"); got < 3 {
		t.Errorf("ratio after slow answers %v", got)
	}
	if got := m.ServerRatio(now.Add(time.Minute), "slow"); math.Abs(got-2) > 0.01 {
		t.Errorf("ratio after a minute %v", got)
	}
}

// Guards against a request whose stated prompt makes each choice of a server take seconds.
func TestStatedTokensBoundTheChoice(t *testing.T) {
	candidates := engines(20)
	counting := &countingSource{}
	for _, tokens := range []int64{1 << 62, -1 << 62, 1<<63 - 1, -1 << 63} {
		counting.n = 0
		placement.NewPriced().Choose(time.Now(), placement.Demand{UnsharedTokens: tokens}, candidates, rand.New(counting))
		if counting.n > 1000 {
			t.Errorf("%d tokens: %d draws", tokens, counting.n)
		}
	}
}

// countingSource counts the numbers drawn, and ends a choice that draws without end.
type countingSource struct{ n uint64 }

func (s *countingSource) Uint64() uint64 {
	if s.n++; s.n > 1_000_000 {
		panic("over 1,000,000 draws")
	}
	return s.n * 0x9e3779b97f4a7c15
}
