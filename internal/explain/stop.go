package explain

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// stopSlack is by how much the signal of a planned stop, as two lines tell it, may differ.
const stopSlack = time.Second

// lostEnds says how the end of an answer was lost.
var lostEnds = map[string]string{
	"failed": "writing it failed", "timed_out": "the caller took nothing for too long", "reset": "the connection was closed with unread data of the caller, which resets it",
	"unsent": "the entry ended before the kernel took it",
}

// Stops returns a sentence for each line of a timeline that tells how the request ended in the
// planned stop of an entry.
func Stops(timeline []Line) []string {
	var sentences []string
	for _, line := range timeline {
		if line.Get(fieldStop) != "" {
			sentences = append(sentences, line.stopSentence())
		}
	}
	return sentences
}

// Lost returns a sentence for each line of a timeline by which a caller did not get the end of an
// answer that its entry had finished.
func Lost(timeline []Line) []string {
	var sentences []string
	for _, line := range timeline {
		if end, ok := lostEnds[line.Get(fieldEnd)]; ok {
			sentences = append(sentences, fmt.Sprintf("Entry %s had finished the answer, and its caller did not get its end: %s; %s bytes or more are missing.", line.Get(fieldEntry), end, line.Get("missing")))
		}
	}
	return sentences
}

// stopSentence says what the stop did, when, and what was expected.
func (l Line) stopSentence() string {
	var b strings.Builder
	fmt.Fprintf(&b, "The planned stop of entry %s: request %s in phase %s, %s after the signal, ", l.Get(fieldEntry), strings.ReplaceAll(l.Get(fieldStop), "_", " "), l.Get(fieldPhase), l.Get(fieldSince))
	if left, err := time.ParseDuration(l.Get("exit_in")); err == nil && left < 0 {
		fmt.Fprintf(&b, "%s past the exit time. ", -left)
	} else {
		fmt.Fprintf(&b, "%s before the exit. ", l.Get("exit_in"))
	}
	if expected, err := time.ParseDuration(l.Get("expected")); err == nil && expected > 0 {
		fmt.Fprintf(&b, "It was expected to take up to %s (%s). ", expected, l.Get("basis"))
	} else {
		b.WriteString("How long it takes was not known. ")
	}
	switch sent, err := time.ParseDuration(l.Get("sent_since")); {
	case err != nil:
		b.WriteString("It was sent to no backend server.")
	case sent < 0:
		fmt.Fprintf(&b, "It was last sent %s before the signal, to %s", -sent, cmp.Or(l.Get(fieldServer), "an unknown server"))
	default:
		fmt.Fprintf(&b, "It was last sent %s after the signal, to %s", sent, cmp.Or(l.Get(fieldServer), "an unknown server"))
	}
	switch {
	case l.Get("sent_since") == "":
	case l.Get("begun") == "true":
		fmt.Fprintf(&b, "; its answer had begun, with %s events passed on.", cmp.Or(l.Get("events"), "0"))
	default:
		b.WriteString("; its answer had not begun.")
	}
	if silent, err := time.ParseDuration(l.Get("silent")); err == nil && silent > 0 {
		fmt.Fprintf(&b, " That server had sent nothing for %s. Its route allows %s attempts; %s were used, %s by choice.", silent, l.Get("of"), l.Get("run"), cmp.Or(l.Get("spent"), "0"))
	}
	return b.String()
}

// signaledAt returns when the signal of a planned stop was handled that the line tells of.
func (l Line) signaledAt() (at time.Time, ok bool) {
	since, err := time.ParseDuration(l.Get(fieldSince))
	return l.At.Add(-since), err == nil && l.Get(fieldPhase) != ""
}

// isPhase reports whether the line tells that a phase of a planned stop begins.
func (l Line) isPhase() bool {
	return l.Get(fieldPhase) != "" && l.Get(fieldStop) == "" && l.Get(fieldEnd) == ""
}
