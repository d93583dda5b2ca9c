package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/request"
	"rosereach/io/caller"
)

const (
	// maxIdleConns bounds the idle connections to one entry.
	maxIdleConns = 1024

	// grace is how long a caller waits past the timeout of its request.
	grace = 5 * time.Second

	progressInterval = time.Second

	bytesPerToken = 4
)

// errLost stands for an answer that was thrown away.
const errLost = errors.ConstError("the answer was lost")

type (
	// Options are the settings of a run. Entries are the addresses that callers
	// know before they ask for more. Most bounds the number of requests; 0 is no
	// bound. Progress may be nil.
	Options struct {
		Entries  []string
		Sources  []Source
		Length   time.Duration
		Most     int
		Manner   Manner
		Seed     uint64
		Progress io.Writer
		Clock    clock.Clock
	}

	// Manner is how callers differ from well-behaved ones. The first answer of
	// every LoseEvery-th request is thrown away, so that it is sent again. Each
	// request is sent by Twins callers at once, to another entry by each.
	// Callers leave after LeaveAfter, and read with ReadPause between tokens.
	// A zero field changes nothing.
	Manner struct {
		LoseEvery  int
		Twins      int
		LeaveAfter time.Duration
		ReadPause  time.Duration
	}

	// Observation is what the caller of one arrival saw. Times count from the
	// intended time of sending. Late is by how much the sending itself came too
	// late. Gaps are the times between two tokens. Cuts are sendings whose
	// answer ended without its end and without an error. Session is the token
	// of the session that the request was sent in.
	Observation struct {
		Arrival    Arrival
		Session    string
		Final      Final
		Late       time.Duration
		FirstToken time.Duration
		Total      time.Duration
		Gaps       []time.Duration
		Cuts       int
	}

	// Runner sends a schedule.
	Runner struct {
		opts     Options
		callers  []*Caller
		sessions []*sessions

		mu   sync.Mutex
		seen []Observation
	}
)

// NewRunner returns a runner for the options' sources.
func NewRunner(opts Options) *Runner {
	r := &Runner{opts: opts}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
	for i, s := range opts.Sources {
		c := &Caller{Known: opts.Entries, Key: s.Key, Region: s.Region, Zone: s.Zone, HTTP: client, Clock: opts.Clock}
		r.callers = append(r.callers, c)
		r.sessions = append(r.sessions, newSessions(fmt.Sprintf("%s-%d-%d", s.Profile.Name, opts.Seed, i)))
	}
	return r
}

// Run sends all arrivals, each at its own time whether or not earlier ones
// were answered, and returns what their callers saw.
func (r *Runner) Run(ctx context.Context) []Observation {
	schedule := r.opts.Schedule()
	began := r.opts.Clock.Now()
	reporting, stop := context.WithCancel(ctx)
	defer stop()
	go r.report(reporting, began, len(schedule))
	var sending sync.WaitGroup
	for i, a := range schedule {
		if !r.waitUntil(ctx, began.Add(a.At)) {
			break
		}
		every := r.opts.Manner.LoseEvery
		lose := every > 0 && i%every == 0
		for twin := range max(r.opts.Manner.Twins, 1) {
			sending.Go(func() { r.observe(ctx, a, began.Add(a.At), twin, lose) })
		}
	}
	sending.Wait()
	return r.seen
}

// Schedule returns the arrivals of a run with these options.
func (o Options) Schedule() []Arrival {
	all := Schedule(o.Sources, o.Length, o.Seed)
	if o.Most > 0 && len(all) > o.Most {
		return all[:o.Most]
	}
	return all
}

func (r *Runner) waitUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(r.opts.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.opts.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) observe(ctx context.Context, a Arrival, intended time.Time, twin int, lose bool) {
	patience := a.Class.Timeout + grace
	if r.opts.Manner.LeaveAfter > 0 {
		patience = r.opts.Manner.LeaveAfter
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	o := Observation{Arrival: a, Late: r.opts.Clock.Now().Sub(intended)}
	o.Final = r.callers[a.Source].DoFrom(ctx, twin, func(ctx context.Context, client caller.Client) (caller.Reply, error) {
		reply, err := r.send(ctx, client, &o, intended)
		if (Final{Reply: reply, Err: err}).IsCut() {
			o.Cuts++
		}
		if lose {
			lose = false
			err = errLost
		}
		return reply, err
	})
	o.Total = r.opts.Clock.Now().Sub(intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, o)
}

// send sends the arrival's request once.
func (r *Runner) send(ctx context.Context, client caller.Client, o *Observation, intended time.Time) (caller.Reply, error) {
	a := o.Arrival
	opts := caller.CallOptions{RequestID: a.ID, Priority: a.Class.Priority, Timeout: a.Class.Timeout}
	if a.Class.Kind == Call {
		path := fmt.Sprintf("%s%d", a.Class.Path, a.Item)
		return client.Service(ctx, a.Class.Service, a.Class.Method, path, callBody(a), opts)
	}
	if a.Session > 0 {
		token, err := r.sessions[a.Source].open(ctx, client, a.Session)
		if err != nil {
			return replyOf(a, err)
		}
		opts.Session = token
		o.Session = token
	}
	var last time.Time
	opts.OnText = func(string) {
		now := r.opts.Clock.Now()
		if o.FirstToken == 0 {
			o.FirstToken = now.Sub(intended)
		}
		if !last.IsZero() {
			o.Gaps = append(o.Gaps, now.Sub(last))
		}
		last = now
		if pause := r.opts.Manner.ReadPause; pause > 0 {
			<-r.opts.Clock.After(pause)
		}
	}
	reply, err := client.Chat(ctx, r.chatBody(a), opts)
	if a.Session > 0 && reply.Problem != nil && reply.Problem.Code == request.CodeSessionEnded {
		r.sessions[a.Source].end(a.Session, opts.Session)
	}
	return reply, err
}

// replyOf tells a refusal to open a session from a lost answer.
func replyOf(a Arrival, err error) (caller.Reply, error) {
	var refused *caller.Problem
	if errors.As(err, &refused) {
		return caller.Reply{RequestID: a.ID, Problem: refused}, nil
	}
	return caller.Reply{RequestID: a.ID}, err
}

func (r *Runner) chatBody(a Arrival) caller.ChatRequest {
	question := fmt.Sprintf("Document %d. ", a.Item)
	text := question + strings.Repeat("word", int(max(a.Prompt-int64(len(question)/bytesPerToken), 1)))
	return caller.ChatRequest{
		Model: request.AutoModel, MaxTokens: a.Answer, Stream: true,
		Messages: []request.Message{
			{Role: "system", Content: r.opts.Sources[a.Source].Profile.System},
			{Role: "user", Content: text},
		},
	}
}

// callBody returns the body of a call; reading and withdrawing have none.
func callBody(a Arrival) []byte {
	if a.Class.Method != http.MethodPost {
		return nil
	}
	return fmt.Appendf(nil, `{"item":%d,"amount":%d}`, a.Item, a.Answer)
}

func (r *Runner) report(ctx context.Context, began time.Time, planned int) {
	if r.opts.Progress == nil {
		return
	}
	for {
		select {
		case <-r.opts.Clock.After(progressInterval):
		case <-ctx.Done():
			return
		}
		counts := r.counts()
		elapsed := r.opts.Clock.Now().Sub(began).Round(time.Second)
		fmt.Fprintf(r.opts.Progress, "%v: %d of %d ended, done %d, not_run %d, unknown %d\n", //nolint:errcheck // progress is a help only
			elapsed, counts.Ended, planned, counts.Done, counts.NotRun, counts.Unknown)
	}
}

func (r *Runner) counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countAll(r.seen)
}
