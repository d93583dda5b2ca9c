package cascade

const (
	// confidenceBonus corrects the confidence that models report, which is too
	// low: answers with a confidence of 50 out of 100 were good in 7 of 10 cases.
	confidenceBonus = 0.2

	// poorAnswerValue and lateAnswerValue are the values of a poor answer and
	// of a late one. A good answer that is in time has the value 1.
	poorAnswerValue = 0.05
	lateAnswerValue = 0.3

	// rerunCost is the cost of a run of the largest model, relative to the value
	// of a good answer.
	rerunCost = 0.12

	// queueCost is added for each request that is queued at a server on average,
	// as the run delays the requests behind it.
	queueCost = 0.06

	// maxQueued caps the queue length used with queueCost. Without the cap no
	// answer of low confidence would be escalated in a long burst.
	maxQueued = 4
)

// SizeCascade is a cascade over models of increasing size: the smallest one answers
// first, and the largest one is asked as well when its answer has a higher expected
// value. Under load the larger model's answer would be late, so that the
// smaller model's is kept.
type SizeCascade struct{}

// First returns the model to ask first, the smallest, or "" when there is none.
// Models are ordered by size.
func (SizeCascade) First(models []string) string {
	if len(models) == 0 {
		return ""
	}
	return models[0]
}

// Largest returns the largest model, and false when it is the one that was asked.
func (SizeCascade) Largest(models []string, asked string) (string, bool) {
	if len(models) == 0 {
		return "", false
	}
	largest := models[len(models)-1]
	return largest, largest != asked
}

// ShouldEscalate reports whether to discard an answer and ask a larger model.
// Confidence is that of the answer, 0 to 100, or -1 when it is unknown. LateRisk is
// the probability, 0 to 1, that the larger model's answer is late; queued is the
// average number of requests queued at a server.
func (SizeCascade) ShouldEscalate(confidence int, lateRisk, queued float64) bool {
	if confidence < 0 {
		return false
	}
	goodChance := min(float64(confidence)/100+confidenceBonus, 1)
	keepValue := goodChance + (1-goodChance)*poorAnswerValue
	escalateValue := (1 - lateRisk) + lateRisk*lateAnswerValue - rerunCost - queueCost*min(queued, maxQueued)
	return escalateValue > keepValue
}
