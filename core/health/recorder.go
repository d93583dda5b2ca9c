package health

import "time"

type (
	// Recorder collects one entry's attempts until they are sent as samples. It is
	// not safe for concurrent use.
	Recorder struct {
		samples map[string]*recordedSample
	}

	recordedSample struct {
		Sample
		loadAt time.Time
	}
)

// NewRecorder returns a recorder without attempts.
func NewRecorder() *Recorder { return &Recorder{samples: make(map[string]*recordedSample)} }

// RecordAnswer records an answer.
func (r *Recorder) RecordAnswer(server string, incarnation uint64) {
	r.sample(server, incarnation).Answers++
}

// RecordFailure records a failed attempt. Unreachable means that the server refused
// connections or was silent on all of them.
func (r *Recorder) RecordFailure(server string, incarnation uint64, unreachable bool) {
	s := r.sample(server, incarnation)
	if unreachable {
		s.Unreachable++
		return
	}
	s.Failures++
}

// RecordLoad records a server's load report.
func (r *Recorder) RecordLoad(now time.Time, server string, incarnation uint64, running, waiting int) {
	s := r.sample(server, incarnation)
	s.Running, s.Waiting, s.loadAt = running, waiting, now
}

// Forget drops the attempts at a server.
func (r *Recorder) Forget(server string) { delete(r.samples, server) }

// Take returns the samples since the last call.
func (r *Recorder) Take(now time.Time) []Sample {
	if len(r.samples) == 0 {
		return nil
	}
	taken := make([]Sample, 0, len(r.samples))
	for _, s := range r.samples {
		sample := s.Sample
		sample.LoadAge = -1
		if !s.loadAt.IsZero() {
			sample.LoadAge = now.Sub(s.loadAt)
		}
		taken = append(taken, sample)
	}
	clear(r.samples)
	return taken
}

// sample returns the sample of the server's incarnation, which is created when it
// is missing.
func (r *Recorder) sample(server string, incarnation uint64) *recordedSample {
	s, ok := r.samples[server]
	if !ok || s.Incarnation != incarnation {
		s = &recordedSample{Sample: Sample{Server: server, Incarnation: incarnation}}
		r.samples[server] = s
	}
	return s
}
