package cascade

const (
	// ConfidenceBonus is how much likelier an answer is good enough than its
	// model's own opinion says: models that doubt an answer of 50 in 100 were
	// right in seven of ten.
	confidenceBonus = 0.2

	// poorWorth is what an answer is worth that is too poor, and lateWorth one
	// that comes too late, as shares of a good one's.
	poorWorth = 0.05
	lateWorth = 0.3

	// againCost is the price of another run of the largest model, as a share of
	// the worth of a good answer. CrowdCost is added for each request that waits
	// at a server on average, as the run delays those that come after it; from
	// mostCrowd on more of them change nothing, or no doubted answer would be
	// asked again in a long burst.
	againCost = 0.12
	crowdCost = 0.06
	mostCrowd = 4
)

// Sizes chooses among models of growing size: the smallest answers first, and
// the largest again where that is worth more. Under load the larger one's
// answer would come late, and the small one's is kept.
type Sizes struct{}

// First returns the model to ask first.
func (Sizes) First(models []string) string {
	if len(models) == 0 {
		return ""
	}
	return models[0]
}

// Larger returns the model to ask again, if there is one.
func (Sizes) Larger(models []string, asked string) (string, bool) {
	if len(models) == 0 {
		return "", false
	}
	largest := models[len(models)-1]
	return largest, largest != asked
}

// IsWorthAsking reports whether to drop an answer of the given confidence, -1
// for unknown or 0 to 100, for a larger model's, which would come late with the
// given chance. Crowd is how many requests wait at a server on average.
func (Sizes) IsWorthAsking(confidence int, lateRisk, crowd float64) bool {
	if confidence < 0 {
		return false
	}
	good := min(float64(confidence)/100+confidenceBonus, 1)
	kept := good + (1-good)*poorWorth
	again := (1 - lateRisk) + lateRisk*lateWorth - againCost - crowdCost*min(crowd, mostCrowd)
	return again > kept
}
