package model

import (
	"math/rand/v2"
	"time"

	"rosereach/core/version"
)

const (
	// sampleShare is the share of answers that the rating service rates, after a
	// delay between minRatingDelay and maxRatingDelay and with noise.
	sampleShare    = 0.2
	ratingNoise    = 0.1
	minRatingDelay = time.Minute
	maxRatingDelay = 3 * time.Minute

	// difficultySpread is the standard deviation of the difficulty of requests,
	// answerSpread that of the quality of answers.
	difficultySpread = 0.1
	answerSpread     = 0.04
)

type (
	// VersionProfile holds the true properties of a version, which can differ from its
	// declared ones.
	VersionProfile struct {
		Version version.Version
		// Quality is the mean quality.
		Quality float64
		// DifficultyEffect is how much a request's difficulty reduces the quality.
		DifficultyEffect float64
		// FirstToken is the time to first token, TokenInterval the time between
		// tokens.
		FirstToken    time.Duration
		TokenInterval time.Duration
	}

	// AnswerModel simulates the true quality of answers. The offsets, by workspace
	// and version, are added to the mean quality of the version's profile.
	AnswerModel struct {
		Profiles map[version.Ref]VersionProfile
		offsets  map[string]map[version.Ref]float64
	}
)

// DefaultProfiles returns five versions of different cost and quality. The qualities
// that their documents declare are slightly wrong.
func DefaultProfiles() []VersionProfile {
	profile := func(model string, declared, quality, difficultyEffect float64, price int64, first, interval time.Duration) VersionProfile {
		v := version.Version{
			Ref: version.Ref{Model: model, Version: "v1"}, State: version.Serving,
			Quality: declared, InputPrice: price / 4, OutputPrice: price,
		}
		return VersionProfile{Version: v, Quality: quality, DifficultyEffect: difficultyEffect, FirstToken: first, TokenInterval: interval}
	}
	return []VersionProfile{
		profile("nano", 0.66, 0.62, 1, 400, 90*time.Millisecond, 6*time.Millisecond),
		profile("small", 0.72, 0.73, 1, 1200, 140*time.Millisecond, 9*time.Millisecond),
		profile("medium", 0.83, 0.81, 0.8, 3500, 220*time.Millisecond, 14*time.Millisecond),
		profile("large", 0.86, 0.88, 0.6, 10000, 380*time.Millisecond, 22*time.Millisecond),
		profile("xl", 0.93, 0.93, 0.4, 30000, 700*time.Millisecond, 34*time.Millisecond),
	}
}

// NewAnswerModel returns the answer model of the workspaces, with random offsets.
func NewAnswerModel(truths []VersionProfile, workspaces []string, random *rand.Rand) *AnswerModel {
	const spread = 0.015
	a := &AnswerModel{Profiles: make(map[version.Ref]VersionProfile), offsets: make(map[string]map[version.Ref]float64)}
	for _, w := range workspaces {
		a.offsets[w] = make(map[version.Ref]float64)
		for _, t := range truths {
			a.offsets[w][t.Version.Ref] = random.NormFloat64() * spread
		}
	}
	for _, t := range truths {
		a.Profiles[t.Version.Ref] = t
	}
	return a
}

// Difficulty draws how much harder than average a request is.
func Difficulty(random *rand.Rand) float64 { return random.NormFloat64() * difficultySpread }

// Quality returns the true quality of one answer, 0 to 1.
func (a *AnswerModel) Quality(workspace, class string, ref version.Ref, difficulty float64, random *rand.Rand) float64 {
	const hardClass = 0.03
	t := a.Profiles[ref]
	q := t.Quality + a.offsets[workspace][ref] - t.DifficultyEffect*difficulty + random.NormFloat64()*answerSpread
	if class != Question {
		q -= hardClass * t.DifficultyEffect
	}
	return min(max(q, 0), 1)
}

// Rate returns the rating of an answer and its delay. It returns false if the
// answer is not sampled; always forces it into the sample.
func Rate(quality float64, always bool, random *rand.Rand) (rating float64, delay time.Duration, ok bool) {
	sampled := random.Float64() < sampleShare || always
	rating = min(max(quality+random.NormFloat64()*ratingNoise, 0), 1)
	delay = minRatingDelay + time.Duration(random.Int64N(int64(maxRatingDelay-minRatingDelay)))
	return rating, delay, sampled
}
