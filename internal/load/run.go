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
	"rosereach/io/bounded"
	"rosereach/io/caller"
)

const (
	// maxIdleConns limits the idle connections to one entry.
	maxIdleConns = 1024

	// timeoutGrace is how long a caller waits after the timeout of its request.
	timeoutGrace = 5 * time.Second

	progressInterval = time.Second

	bytesPerToken = 4
)

// errAnswerDropped replaces an answer that the run discards on purpose.
const errAnswerDropped = errors.ConstError("the answer was lost")

type (
	// Options configure a run. Entries are the addresses that callers use before
	// they fetch a list. MaxRequests limits the number of requests; 0 means no
	// limit. Progress may be nil.
	Options struct {
		Entries     []string
		Sources     []Source
		Duration    time.Duration
		MaxRequests int
		Behavior    CallerBehavior
		Seed        uint64
		Progress    io.Writer
		Clock       clock.Clock
	}

	// CallerBehavior lists how callers deviate from well-behaved ones. A zero field
	// changes nothing.
	CallerBehavior struct {
		// DropEvery discards the first answer to every n-th request, so that it
		// is sent again.
		DropEvery int
		// Copies is the number of callers that send each request concurrently,
		// each to a different entry.
		Copies int
		// DisconnectAfter is when callers disconnect.
		DisconnectAfter time.Duration
		// ReadPause is the pause of callers after each token that they read.
		ReadPause time.Duration
	}

	// Observation is what the caller of one arrival observed. Times count from
	// the scheduled send time.
	Observation struct {
		Arrival Arrival
		// Session is the token of the session that the request belongs to.
		Session string
		Result  Result
		// SendDelay is the delay between scheduled and actual send time.
		SendDelay  time.Duration
		FirstToken time.Duration
		Total      time.Duration
		// TokenIntervals are the times between consecutive tokens.
		TokenIntervals []time.Duration
		// Truncations counts attempts whose answer ended without an end marker and
		// without an error.
		Truncations int
	}

	// Runner sends the requests of a schedule.
	Runner struct {
		opts     Options
		callers  []*Caller
		sessions []*sessionSet

		mu           sync.Mutex
		observations []Observation
	}
)

// NewRunner returns a runner with one caller for each source.
func NewRunner(opts Options) *Runner {
	r := &Runner{opts: opts}
	client := &http.Client{Transport: bounded.Transport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true})}
	for i, s := range opts.Sources {
		c := &Caller{BootstrapEntries: opts.Entries, Key: s.Key, Region: s.Region, Zone: s.Zone, HTTP: client, Clock: opts.Clock}
		r.callers = append(r.callers, c)
		r.sessions = append(r.sessions, newSessionSet(fmt.Sprintf("%s-%d-%d", s.Profile.Name, opts.Seed, i)))
	}
	return r
}

// Run sends every request at its scheduled time, whether or not earlier ones
// were answered, and returns the observations of their callers.
func (r *Runner) Run(ctx context.Context) []Observation {
	schedule := r.opts.Schedule()
	startedAt := r.opts.Clock.Now()
	reporting, stop := context.WithCancel(ctx)
	defer stop()
	go r.reportProgress(reporting, startedAt, len(schedule))
	var sending sync.WaitGroup
	for i, a := range schedule {
		if !r.waitUntil(ctx, startedAt.Add(a.At)) {
			break
		}
		every := r.opts.Behavior.DropEvery
		drop := every > 0 && i%every == 0
		for sender := range max(r.opts.Behavior.Copies, 1) {
			sending.Go(func() { r.observe(ctx, a, startedAt.Add(a.At), sender, drop) })
		}
	}
	sending.Wait()
	return r.observations
}

// Schedule returns the arrivals of a run with these options.
func (o Options) Schedule() []Arrival {
	all := Schedule(o.Sources, o.Duration, o.Seed)
	if o.MaxRequests > 0 && len(all) > o.MaxRequests {
		return all[:o.MaxRequests]
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

func (r *Runner) observe(ctx context.Context, a Arrival, scheduled time.Time, sender int, drop bool) {
	timeout := a.Class.Timeout + timeoutGrace
	if r.opts.Behavior.DisconnectAfter > 0 {
		timeout = r.opts.Behavior.DisconnectAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o := Observation{Arrival: a, SendDelay: r.opts.Clock.Now().Sub(scheduled)}
	o.Result = r.callers[a.Source].DoFrom(ctx, sender, func(ctx context.Context, client caller.Client) (caller.Reply, error) {
		reply, err := r.send(ctx, client, &o, scheduled)
		if (Result{Reply: reply, Err: err}).IsTruncated() {
			o.Truncations++
		}
		if drop {
			drop = false
			err = errAnswerDropped
		}
		return reply, err
	})
	o.Total = r.opts.Clock.Now().Sub(scheduled)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, o)
}

// send sends the arrival's request once, and opens its session if necessary.
func (r *Runner) send(ctx context.Context, client caller.Client, o *Observation, scheduled time.Time) (caller.Reply, error) {
	a := o.Arrival
	opts := caller.CallOptions{RequestID: a.ID, Priority: a.Class.Priority, Timeout: a.Class.Timeout}
	if a.Class.Kind == Call {
		path := fmt.Sprintf("%s%d", a.Class.Path, a.Item)
		return client.Service(ctx, a.Class.Service, a.Class.Method, path, callBody(a), opts)
	}
	// A request that is sent again belongs to the same session: with another one it
	// would be another request under the same ID.
	if a.Session > 0 && o.Session == "" {
		token, err := r.sessions[a.Source].open(ctx, client, a.Session)
		if err != nil {
			return replyOf(a, err)
		}
		o.Session = token
	}
	opts.Session = o.Session
	var last time.Time
	opts.OnText = func(string) {
		now := r.opts.Clock.Now()
		if o.FirstToken == 0 {
			o.FirstToken = now.Sub(scheduled)
		}
		if !last.IsZero() {
			o.TokenIntervals = append(o.TokenIntervals, now.Sub(last))
		}
		last = now
		if pause := r.opts.Behavior.ReadPause; pause > 0 {
			<-r.opts.Clock.After(pause)
		}
	}
	reply, err := client.Chat(ctx, r.chatBody(a), opts)
	if a.Session > 0 && reply.Problem != nil && reply.Problem.Code == request.CodeSessionEnded {
		r.sessions[a.Source].end(a.Session, opts.Session)
	}
	return reply, err
}

// replyOf converts an error of opening a session: a refusal becomes a reply with
// its problem, any other error is returned.
func replyOf(a Arrival, err error) (caller.Reply, error) {
	var problem *caller.Problem
	if errors.As(err, &problem) {
		return caller.Reply{RequestID: a.ID, Problem: problem}, nil
	}
	return caller.Reply{RequestID: a.ID}, err
}

func (r *Runner) chatBody(a Arrival) caller.ChatRequest {
	question := fmt.Sprintf("Document %d. ", a.Item)
	text := question + strings.Repeat("word", int(max(a.PromptTokens-int64(len(question)/bytesPerToken), 1)))
	return caller.ChatRequest{
		Model: request.AutoModel, MaxTokens: a.AnswerTokens, Stream: true,
		Messages: []request.Message{
			{Role: "system", Content: r.opts.Sources[a.Source].Profile.SystemPrompt},
			{Role: "user", Content: text},
		},
	}
}

// callBody returns the body of a call. Only POST requests have one.
func callBody(a Arrival) []byte {
	if a.Class.Method != http.MethodPost {
		return nil
	}
	return fmt.Appendf(nil, `{"item":%d,"amount":%d}`, a.Item, a.AnswerTokens)
}

func (r *Runner) reportProgress(ctx context.Context, startedAt time.Time, planned int) {
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
		elapsed := r.opts.Clock.Now().Sub(startedAt).Round(time.Second)
		fmt.Fprintf(r.opts.Progress, "%v: %d of %d ended, done %d, not_run %d, unknown %d\n", //nolint:errcheck // progress output is best effort
			elapsed, counts.Ended, planned, counts.Done, counts.NotRun, counts.Unknown)
	}
}

func (r *Runner) counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countAll(r.observations)
}
