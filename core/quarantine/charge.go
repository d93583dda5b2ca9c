package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A part is listed only for minEnds servers that ended under as many requests with
	// it, in minEpisodes of time that begin at least episodeTime apart. Servers that fail
	// with a rack, an availability zone or a release end at the same time.
	minEnds     = 3
	minEpisodes = 3
	episodeTime = 300 * time.Millisecond

	// listingLogLikelihood is the log-likelihood ratio from which a part is listed.
	listingLogLikelihood = 4.5

	// crashRate is the assumed share of requests with a crashing part that end their
	// server: not each one needs to. The share of the other requests of the service that
	// are at a server when it ends is estimated from minComparisons of them at least, and
	// assumed to be minLossRate at least. When it reaches crashRate, it tells nothing.
	crashRate      = 0.8
	minLossRate    = 0.05
	minComparisons = 8

	// coverage is the assumed share of the servers' ends that a crashing part is present
	// at, and answerWeight the weight of a sound answer against its presence.
	coverage     = 0.9
	answerWeight = 0.7
)

// charge is what speaks for and against one part.
type charge struct {
	key      Key
	service  string
	ends     map[*pooledEnd]bool
	requests map[uint64]bool // that were at a server when it ended
	distinct map[uint64]bool // those that are not the same request again
	position int             // the sum of the part's positions in prompts
	placed   int             // the number of these prompts
	answers  float64         // sound ones
	score    float64         // the log-likelihood ratio of the stronger test
}

// weigh sets the score. Two tests answer two loads: while most requests are answered, those
// with a crashing part are lost more often than others; while servers end so fast that
// nearly all are lost, it is present at more ends than its share of the requests explains.
func (c *charge) weigh(t *serviceLoss) {
	c.score = max(c.lossScore(t), c.presenceScore(t))
}

// lossScore is the log-likelihood ratio of a part that ends servers against one whose
// requests are lost as often as others, 0 if too little is known of these.
func (c *charge) lossScore(t *serviceLoss) float64 {
	lost := max(float64(len(t.requests)-len(c.requests)), 0)
	answered := max(t.answered-c.answers, 0)
	if lost+answered < minComparisons {
		return 0
	}
	rate := min(max(lost/(lost+answered), minLossRate), crashRate)
	return float64(c.weight())*math.Log(crashRate/rate) + c.answers*math.Log((1-crashRate)/(1-rate))
}

// presenceScore is the log-likelihood ratio of a part that is present at nearly all ends, as
// their cause, against one that is present by chance, with its share of the lost requests.
func (c *charge) presenceScore(t *serviceLoss) float64 {
	if c.weight() < minEnds {
		return 0
	}
	share := float64(len(c.requests)) / float64(len(t.requests))
	score := -answerWeight * c.answers
	for _, e := range t.ends {
		absent := math.Pow(1-share, float64(len(e.requests)))
		if c.ends[e] {
			score += math.Log(coverage / max(1-absent, 1-coverage))
		} else {
			score += math.Log((1 - coverage) / max(absent, 1-coverage))
		}
	}
	return score
}

// weight is the number of ends that different requests may have caused. One that comes again
// is judged by itself.
func (c *charge) weight() int { return min(len(c.ends), len(c.distinct)) }

// suffices reports whether the part may be listed.
func (c *charge) suffices() bool {
	return c.score >= listingLogLikelihood && c.weight() >= minEnds && c.episodes() >= minEpisodes
}

// episodes returns the number of episodes that the ends fall into.
func (c *charge) episodes() int {
	times := make([]time.Time, 0, len(c.ends))
	for e := range c.ends {
		times = append(times, e.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var start time.Time
	for _, at := range times {
		if n == 0 || at.Sub(start) >= episodeTime {
			n, start = n+1, at
		}
	}
	return n
}

// compareCharges puts the charge that explains more ends first. Of two that explain as many
// the part with fewer sound answers, in fewer requests, and then the one later in the
// prompt, is the more specific.
func compareCharges(a, b *charge) int {
	return cmp.Or(
		cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.answers, b.answers), cmp.Compare(len(a.requests), len(b.requests)),
		cmp.Compare(b.position*a.placed, a.position*b.placed), cmp.Compare(a.key, b.key),
	)
}
