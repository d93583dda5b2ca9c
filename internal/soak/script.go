package soak

import (
	"net/url"
	"strconv"
	"strings"
	"time"
)

// script is what a caller wants a server to do with its request. It is the query of the
// request's target. The zero script is a short answer.
type script struct {
	// work is how long the server works before it sends the head of its answer.
	work time.Duration
	// events is the number of events in a stream, streamEvents if it is 0, and pause the time
	// between two of them, eventPause if it is 0.
	events uint64
	pause  time.Duration
	// size is the number of bytes of an answer that is no stream, those of the request ID at least.
	size int
	// lost leaves out the answer, or the rest of a stream after its first events, firstEvents if
	// that is 0. The connection stays open.
	lost  bool
	first uint64
	// breaksOff ends the connection after the first events of a stream that does not go on after
	// another one.
	breaksOff bool
	// ending is how the servers' streams end or go on, "" for as usual.
	ending ending
	// failing is the number of arrivals that end without an answer, refused the number of the one
	// that its server refuses, and unsure of the one in which a model has little confidence in its
	// answer, 0 for none. Arrivals count from 1. A model is sure of its answer in all others if
	// one is named.
	failing, refused, unsure uint64
}

// ending is how streams of sound servers end or go on.
type ending string

const (
	// unframed streams end with their connections.
	unframed ending = "unframed"
	// spoilt streams are unframed ones, of which the first server's ends in bytes of no event.
	spoilt ending = "spoilt"
	// deserted streams are unframed ones, of which the second server knows the end and the third
	// falls silent.
	deserted ending = "deserted"
	// jumping streams leave out an id behind the first events.
	jumping ending = "jumping"
)

// firstEvents is the number of events before a scripted stream is lost or breaks off.
const firstEvents = 3

// query encodes the script, without what is zero.
func (s script) query() string {
	values := make(url.Values)
	for name, n := range map[string]int64{"work": int64(s.work), "events": int64(s.events), "first": int64(s.first), "pause": int64(s.pause), "size": int64(s.size), "failing": int64(s.failing), "unsure": int64(s.unsure), "refused": int64(s.refused)} { //nolint:gosec // events are few
		if n != 0 {
			values.Set(name, strconv.FormatInt(n, 10))
		}
	}
	for name, is := range map[string]bool{"lost": s.lost, "breaks_off": s.breaksOff} {
		if is {
			values.Set(name, "1")
		}
	}
	if s.ending != "" {
		values.Set("ending", string(s.ending))
	}
	return values.Encode()
}

// decodeScript decodes a query. Whatever it does not name is zero.
func decodeScript(query url.Values) script {
	number := func(name string) int64 {
		n, err := strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return script{
		work: time.Duration(number("work")), events: uint64(number("events")), pause: time.Duration(number("pause")), //nolint:gosec // see above
		first: uint64(number("first")), size: int(number("size")), //nolint:gosec // see above
		failing: uint64(number("failing")), unsure: uint64(number("unsure")), refused: uint64(number("refused")), //nolint:gosec // see above
		lost: query.Has("lost"), breaksOff: query.Has("breaks_off"), ending: ending(query.Get("ending")),
	}
}

// eventCount returns the number of events in a complete stream.
func (s script) eventCount() uint64 {
	if s.events == 0 {
		return streamEvents
	}
	return s.events
}

// stream returns the complete stream.
func (s script) stream() string {
	if s.ending != jumping {
		return events(0, s.eventCount())
	}
	return events(0, firstEvents) + events(firstEvents+1, s.eventCount()+1)
}

// answer returns the complete answer to a request that is no stream.
func (s script) answer(id string) string {
	return id + strings.Repeat(".", max(0, s.size-len(id)))
}
