package quarantine

import "time"

const (
	// generationTime is how long sound answers are counted together. They are
	// forgotten after one to two generations.
	generationTime = 30 * time.Second

	// maxPartsPerWorkspace bounds the parts that are counted for one workspace in a
	// generation. The first ones are kept: those of all its requests come first.
	maxPartsPerWorkspace = 512
)

type (
	// Memory counts an entry's sound answers by the parts of their prompts. Each
	// workspace has room of its own, so that none can push out the evidence for the parts
	// of another. It is not safe for concurrent use.
	Memory struct {
		current, previous map[string]map[Key]float64 // by workspace
		since             time.Time
	}
)

// NewMemory returns a memory without answers.
func NewMemory() *Memory {
	return &Memory{current: make(map[string]map[Key]float64), previous: make(map[string]map[Key]float64)}
}

// Record records a sound answer to a request to a service: one that is complete, or has been
// going on for a while.
func (m *Memory) Record(now time.Time, service, workspace string, parts []Key) {
	m.advance(now)
	counts, ok := m.current[workspace]
	if !ok {
		counts = make(map[Key]float64)
		m.current[workspace] = counts
	}
	counts[KeyOf(service, "")]++
	for _, k := range parts {
		if _, ok := counts[k]; ok || len(counts) < maxPartsPerWorkspace {
			counts[k]++
		}
	}
}

// Answers returns the number of recent sound answers to requests with a part.
func (m *Memory) Answers(now time.Time, k Key) float64 {
	m.advance(now)
	var n float64
	for _, generation := range []map[string]map[Key]float64{m.current, m.previous} {
		for _, counts := range generation {
			n += counts[k]
		}
	}
	return n
}

// Sound returns the counts of the given parts that have any.
func (m *Memory) Sound(now time.Time, keys []Key) []Sound {
	var sound []Sound
	for _, k := range keys {
		if n := m.Answers(now, k); n > 0 {
			sound = append(sound, Sound{Key: k, Answers: n})
		}
	}
	return sound
}

func (m *Memory) advance(now time.Time) {
	switch elapsed := now.Sub(m.since); {
	case elapsed < generationTime:
		return
	case elapsed < 2*generationTime:
		m.previous = m.current
	default:
		m.previous = make(map[string]map[Key]float64)
	}
	m.current = make(map[string]map[Key]float64)
	m.since = now
}
