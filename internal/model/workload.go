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
	// except Common are means.
	Class struct {
		Name     string
		Share    float64
		Common   int64
		Document int64
		Own      int64
		Output   int64
		// Turns is the mean number of requests in a session.
		Turns float64
		// Think is the mean pause between an answer and the next request.
		Think time.Duration
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
		Workspace string
		Weight    int
		Class     Class
		Session   uint64
		Region    string
		Prompt    []Segment
		Output    int
		Turn      int
		Urgent    bool
		random    *rand.Rand
	}

	// Source generates the arrivals of a workload. UrgentShare is the share of
	// sessions with a higher priority. A session depends only on the seed and
	// its number, so that all policies get the same traffic.
	Source struct {
		Urgent   float64
		workload Workload
		seed     uint64
		last     uint64
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
			{Name: Question, Share: 0.7, Common: 800, Own: 60, Output: 80, Turns: 2, Think: 8 * time.Second},
			{Name: Dossier, Share: 0.3, Common: 800, Document: 5000, Own: 200, Output: 300, Turns: 4, Think: 10 * time.Second},
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
			{Name: Question, Share: 0.4, Common: 600, Own: 150, Output: 150, Turns: 2, Think: 10 * time.Second},
			{Name: Statement, Share: 0.6, Common: 600, Document: 3000, Own: 300, Output: 350, Turns: 3, Think: 12 * time.Second},
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
			{Name: Question, Share: 0.6, Common: 800, Own: 100, Output: 150, Turns: 2, Think: 8 * time.Second},
			{Name: Dossier, Share: 0.4, Common: 800, Document: 4000, Own: 200, Output: 380, Turns: 3, Think: 10 * time.Second},
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
		turns += c.Share * c.Turns
	}
	return turns
}

// Only returns the workload with all traffic in one workspace. The original
// shares become the weights.
func (w Workload) Only(workspace int) Workload {
	w.Weights = w.Workspaces
	shares := make([]float64, len(w.Workspaces))
	shares[workspace] = 1
	w.Workspaces = shares
	return w
}

// Single returns the workload with the same mix of requests, but one request per
// session, so that a change of the rate changes the load immediately.
func (w Workload) Single() Workload {
	turns := w.MeanTurns()
	w.Classes = slices.Clone(w.Classes)
	for i, c := range w.Classes {
		w.Classes[i].Share = c.Share * c.Turns / turns
		w.Classes[i].Turns = 1
	}
	return w
}

// NewSource returns a source of arrivals.
func NewSource(w Workload, seed uint64) *Source { return &Source{workload: w, seed: seed} }

// Open starts a new session and returns its first request.
func (s *Source) Open() Arrival {
	s.last++
	random := rand.New(rand.NewPCG(s.seed, s.last))
	ws := pick(random, s.workload.Workspaces)
	class := s.workload.class(random)
	a := Arrival{
		Workspace: fmt.Sprintf("w%d", ws), Weight: s.workload.weight(ws), Class: class, Session: s.last, Region: s.workload.region(random),
		Prompt: []Segment{{Key: key(uint64(ws), 1), Tokens: class.Common}}, random: random,
	}
	a.Urgent = random.Float64() < s.Urgent
	if class.Document > 0 {
		a.Prompt = append(a.Prompt, s.document(random, ws, class))
	}
	return a.ask()
}

// next returns the session's next request, or false if the session ends.
func (a Arrival) next() (Arrival, bool) {
	if a.random.Float64() >= 1-1/a.Class.Turns {
		return a, false
	}
	answer := Segment{Key: key(a.Session, uint64(a.Turn), 3), Tokens: int64(a.Output)}
	a.Prompt = append(append([]Segment(nil), a.Prompt...), answer)
	a.Turn++
	return a.ask(), true
}

// think draws the time until the session's next request.
func (a Arrival) think() time.Duration {
	return time.Duration(a.random.ExpFloat64() * float64(a.Class.Think))
}

// ask appends the request's own text and draws the length of its answer.
func (a Arrival) ask() Arrival {
	own := Segment{Key: key(a.Session, uint64(a.Turn), 4), Tokens: around(a.random, a.Class.Own)}
	a.Prompt = append(append([]Segment(nil), a.Prompt...), own)
	a.Output = int(around(a.random, a.Class.Output))
	return a
}

// document draws one of the workspace's documents. The distribution is skewed:
// a few documents get most of the requests.
func (s *Source) document(random *rand.Rand, ws int, class Class) Segment {
	n := int(float64(s.workload.Documents) * math.Pow(random.Float64(), 2))
	k := key(uint64(ws), uint64(n), 2)
	factor := 0.5 + float64(k%1000)/1000
	return Segment{Key: k, Tokens: int64(float64(class.Document) * factor)}
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
	return w.Classes[pick(random, shares)]
}

func (w Workload) region(random *rand.Rand) string {
	shares := make([]float64, len(w.Regions))
	for i, r := range w.Regions {
		shares[i] = r.Share
	}
	return w.Regions[pick(random, shares)].Name
}

// around draws from a log-normal distribution with approximately the given mean.
func around(random *rand.Rand, mean int64) int64 {
	const sigma = 0.5
	return max(1, int64(float64(mean)*math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)))
}

func pick(random *rand.Rand, weights []float64) int {
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

// key hashes numbers into one identifier.
func key(parts ...uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, p := range parts {
		h ^= p + 0x9e3779b97f4a7c15
		h *= 0xbf58476d1ce4e5b9
		h ^= h >> 29
	}
	return h
}
