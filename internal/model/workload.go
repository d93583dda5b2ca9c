package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The names of the request classes.
const (
	Question  = "question"
	Dossier   = "dossier"
	Statement = "statement"
)

type (
	// Class is a class of requests. A prompt consists of a common text of the
	// workspace, a document for classes that have one, and a text of its own.
	// Later requests of a session refer to the same document. All token counts
	// except CommonTokens are means.
	Class struct {
		Name           string
		Share          float64
		CommonTokens   int64
		DocumentTokens int64
		OwnTokens      int64
		OutputTokens   int64
		// MeanTurns is the mean number of requests in a session.
		MeanTurns float64
		// ThinkTime is the mean pause between an answer and the next request.
		ThinkTime time.Duration
	}

	// Workload is a traffic mix. Workspaces holds the workspaces' shares of the
	// traffic. Weights holds their weights; if nil, the weights equal the
	// shares. Documents is the number of documents of each workspace.
	Workload struct {
		Name       string
		Regions    []Region
		Entries    int
		Engines    int
		Workspaces []float64
		Weights    []float64
		Classes    []Class
		Documents  int
	}

	// Region is a region with its share of the callers and its availability
	// zones.
	Region struct {
		Name  string
		Share float64
		Zones []string
	}

	// Arrival is one request of the workload. Turn is the number of earlier
	// requests of its session.
	Arrival struct {
		Workspace    string
		Weight       int
		Class        Class
		Session      uint64
		Region       string
		Prompt       []Segment
		OutputTokens int
		Turn         int
		Urgent       bool
		random       *rand.Rand
	}

	// Source generates the arrivals of a workload. UrgentShare is the share of
	// sessions with a higher priority. A session depends only on the seed and
	// its number, so that all policies get the same traffic.
	Source struct {
		UrgentShare float64
		workload    Workload
		seed        uint64
		lastSession uint64
	}
)

// VitrinaVacia returns the workload of a register of vacant shops. Latency
// matters most; there are short questions and long dossiers, a few large
// workspaces, and sessions.
func VitrinaVacia() Workload {
	return Workload{
		Name: "vitrina_vacia", Entries: 6, Engines: 10, Documents: 40,
		Regions:    []Region{{"central", 0.75, []string{"sanjose", "heredia"}}, {"pacifico", 0.25, []string{"puntarenas"}}},
		Workspaces: []float64{0.35, 0.25, 0.1, 0.06, 0.06, 0.05, 0.05, 0.04, 0.02, 0.02},
		Classes: []Class{
			{Name: Question, Share: 0.7, CommonTokens: 800, OwnTokens: 60, OutputTokens: 80, MeanTurns: 2, ThinkTime: 8 * time.Second},
			{Name: Dossier, Share: 0.3, CommonTokens: 800, DocumentTokens: 5000, OwnTokens: 200, OutputTokens: 300, MeanTurns: 4, ThinkTime: 10 * time.Second},
		},
	}
}

// Terminalna returns the workload of a clearing house for tank terminals:
// statements, explanations and summaries. Exposure matters most.
func Terminalna() Workload {
	return Workload{
		Name: "terminalna", Entries: 6, Engines: 10, Documents: 60,
		Regions:    []Region{{"ljubljana", 0.7, []string{"lj-a", "lj-b"}}, {"koper", 0.3, []string{"kp-a"}}},
		Workspaces: []float64{0.3, 0.25, 0.12, 0.08, 0.07, 0.06, 0.04, 0.04, 0.02, 0.02},
		Classes: []Class{
			{Name: Question, Share: 0.4, CommonTokens: 600, OwnTokens: 150, OutputTokens: 150, MeanTurns: 2, ThinkTime: 10 * time.Second},
			{Name: Statement, Share: 0.6, CommonTokens: 600, DocumentTokens: 3000, OwnTokens: 300, OutputTokens: 350, MeanTurns: 3, ThinkTime: 12 * time.Second},
		},
	}
}

// TwoYears returns the target workload scaled down to 1/200 of its 360 nodes and
// 5,200 workers, in 7 availability zones of 2 regions. It has four entries
// instead of two, so that herding becomes visible.
func TwoYears() Workload {
	w := Workload{
		Name: "two_years_1_200", Entries: 4, Engines: 26, Documents: 200,
		Regions: []Region{{"east", 0.6, []string{"e1", "e2", "e3", "e4"}}, {"west", 0.4, []string{"w1", "w2", "w3"}}},
		Classes: []Class{
			{Name: Question, Share: 0.6, CommonTokens: 800, OwnTokens: 100, OutputTokens: 150, MeanTurns: 2, ThinkTime: 8 * time.Second},
			{Name: Dossier, Share: 0.4, CommonTokens: 800, DocumentTokens: 4000, OwnTokens: 200, OutputTokens: 380, MeanTurns: 3, ThinkTime: 10 * time.Second},
		},
	}
	const workspaces = 60
	var sum float64
	for i := range workspaces {
		sum += 1 / float64(i+1)
	}
	for i := range workspaces {
		w.Workspaces = append(w.Workspaces, 1/float64(i+1)/sum)
	}
	return w
}

// MeanTurns returns the mean number of requests in a session over all classes.
func (w Workload) MeanTurns() float64 {
	var turns float64
	for _, c := range w.Classes {
		turns += c.Share * c.MeanTurns
	}
	return turns
}

// OnlyWorkspace returns the workload with all traffic in one workspace. The original
// shares become the weights.
func (w Workload) OnlyWorkspace(workspace int) Workload {
	w.Weights = w.Workspaces
	shares := make([]float64, len(w.Workspaces))
	shares[workspace] = 1
	w.Workspaces = shares
	return w
}

// SingleRequestSessions returns the workload with the same mix of requests, but one
// request per session, so that a change of the rate changes the load immediately.
func (w Workload) SingleRequestSessions() Workload {
	turns := w.MeanTurns()
	w.Classes = slices.Clone(w.Classes)
	for i, c := range w.Classes {
		w.Classes[i].Share = c.Share * c.MeanTurns / turns
		w.Classes[i].MeanTurns = 1
	}
	return w
}

// NewSource returns a source of arrivals.
func NewSource(w Workload, seed uint64) *Source { return &Source{workload: w, seed: seed} }

// OpenSession starts a new session and returns its first request.
func (s *Source) OpenSession() Arrival {
	s.lastSession++
	random := rand.New(rand.NewPCG(s.seed, s.lastSession))
	ws := drawWeighted(random, s.workload.Workspaces)
	class := s.workload.class(random)
	a := Arrival{
		Workspace: fmt.Sprintf("w%d", ws), Weight: s.workload.weight(ws), Class: class, Session: s.lastSession, Region: s.workload.region(random),
		Prompt: []Segment{{Key: hashKey(uint64(ws), 1), Tokens: class.CommonTokens}}, random: random,
	}
	a.Urgent = random.Float64() < s.UrgentShare
	if class.DocumentTokens > 0 {
		a.Prompt = append(a.Prompt, s.document(random, ws, class))
	}
	return a.withOwnText()
}

// next returns the session's next request, or false if the session ends.
func (a Arrival) next() (Arrival, bool) {
	if a.random.Float64() >= 1-1/a.Class.MeanTurns {
		return a, false
	}
	answer := Segment{Key: hashKey(a.Session, uint64(a.Turn), 3), Tokens: int64(a.OutputTokens)}
	a.Prompt = append(append([]Segment(nil), a.Prompt...), answer)
	a.Turn++
	return a.withOwnText(), true
}

// drawThinkTime draws the time until the session's next request.
func (a Arrival) drawThinkTime() time.Duration {
	return time.Duration(a.random.ExpFloat64() * float64(a.Class.ThinkTime))
}

// withOwnText appends the request's own text and draws the length of its answer.
func (a Arrival) withOwnText() Arrival {
	own := Segment{Key: hashKey(a.Session, uint64(a.Turn), 4), Tokens: drawLogNormal(a.random, a.Class.OwnTokens)}
	a.Prompt = append(append([]Segment(nil), a.Prompt...), own)
	a.OutputTokens = int(drawLogNormal(a.random, a.Class.OutputTokens))
	return a
}

// document draws one of the workspace's documents. The distribution is skewed:
// a few documents get most of the requests.
func (s *Source) document(random *rand.Rand, ws int, class Class) Segment {
	n := int(float64(s.workload.Documents) * math.Pow(random.Float64(), 2))
	k := hashKey(uint64(ws), uint64(n), 2)
	factor := 0.5 + float64(k%1000)/1000
	return Segment{Key: k, Tokens: int64(float64(class.DocumentTokens) * factor)}
}

func (w Workload) weight(workspace int) int {
	const scale = 100
	weights := w.Weights
	if weights == nil {
		weights = w.Workspaces
	}
	return max(int(weights[workspace]*scale), 1)
}

func (w Workload) class(random *rand.Rand) Class {
	shares := make([]float64, len(w.Classes))
	for i, c := range w.Classes {
		shares[i] = c.Share
	}
	return w.Classes[drawWeighted(random, shares)]
}

func (w Workload) region(random *rand.Rand) string {
	shares := make([]float64, len(w.Regions))
	for i, r := range w.Regions {
		shares[i] = r.Share
	}
	return w.Regions[drawWeighted(random, shares)].Name
}

// drawLogNormal draws from a log-normal distribution with approximately the given mean.
func drawLogNormal(random *rand.Rand, mean int64) int64 {
	const sigma = 0.5
	return max(1, int64(float64(mean)*math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)))
}

func drawWeighted(random *rand.Rand, weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	remaining := random.Float64() * sum
	for i, w := range weights {
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// hashKey hashes numbers into one identifier.
func hashKey(parts ...uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, p := range parts {
		h ^= p + 0x9e3779b97f4a7c15
		h *= 0xbf58476d1ce4e5b9
		h ^= h >> 29
	}
	return h
}
