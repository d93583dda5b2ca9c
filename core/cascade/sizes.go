package cascade

const (
	// DefaultDoubt is the confidence, of 100, under which an answer is asked
	// again of the largest model. Higher ones pay for more large runs than
	// they save answers that are too poor.
	DefaultDoubt = 65
)

// Sizes chooses among models of growing size: the smallest answers first, and
// the largest again where the small one doubts its answer.
type Sizes struct {
	Doubt int
}

// First returns the model to ask first.
func (s Sizes) First(models []string) string {
	if len(models) == 0 {
		return ""
	}
	return models[0]
}

// Next returns the model to ask instead, when the answer's confidence, -1 for
// unknown, is too low and a larger model is left.
func (s Sizes) Next(models []string, asked string, confidence int) (string, bool) {
	if len(models) == 0 || confidence < 0 || confidence >= s.Doubt {
		return "", false
	}
	largest := models[len(models)-1]
	return largest, largest != asked
}
