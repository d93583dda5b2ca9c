package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// itemCount is the number of distinct shops, listings, balances or documents that
// requests refer to.
const itemCount = 200

type (
	// Source is a traffic source: the callers of one workspace in one zone,
	// which send a profile's requests at a mean Rate per second.
	Source struct {
		Profile Profile
		Key     string
		Rate    float64
		Region  string
		Zone    string
	}

	// Arrival is one request of a schedule. At is relative to the start of the
	// run, Source is an index. Session is 0 for a request without a session.
	Arrival struct {
		At           time.Duration
		ID           string
		Source       int
		Class        Class
		PromptTokens int64
		AnswerTokens int64
		Item         int
		Session      int
	}
)

// Schedule returns the arrivals of all sources, sorted by time. Each source is a
// Poisson process. The same seed always gives the same schedule.
func Schedule(sources []Source, length time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, source := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, arrivals(source, i, length, seed, random)...)
	}
	slices.SortFunc(all, func(a, b Arrival) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	return all
}

func arrivals(source Source, index int, length time.Duration, seed uint64, random *rand.Rand) []Arrival {
	var (
		list     []Arrival
		at       time.Duration
		turns    = make(map[string]int)
		sessions = make(map[string]int)
		opened   int
	)
	for {
		at += time.Duration(random.ExpFloat64() / source.Rate * float64(time.Second))
		if at >= length {
			return list
		}
		class := pickClass(source.Profile.Classes, random)
		a := Arrival{
			At: at, ID: fmt.Sprintf("%s-%d-%d-%d", source.Profile.Name, seed, index, len(list)), Source: index, Class: class,
			PromptTokens: randomInRange(class.PromptTokens, random), AnswerTokens: randomInRange(class.AnswerTokens, random), Item: random.IntN(itemCount),
		}
		if class.Turns > 0 {
			if turns[class.Name] == 0 {
				opened++
				sessions[class.Name] = opened
				turns[class.Name] = class.Turns
			}
			turns[class.Name]--
			a.Session = sessions[class.Name]
		}
		list = append(list, a)
	}
}

func pickClass(classes []Class, random *rand.Rand) Class {
	var sum float64
	for _, c := range classes {
		sum += c.Weight
	}
	remaining := random.Float64() * sum
	for _, c := range classes {
		remaining -= c.Weight
		if remaining < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}

func randomInRange(r Range, random *rand.Rand) int64 { return r.Min + random.Int64N(r.Max-r.Min+1) }
