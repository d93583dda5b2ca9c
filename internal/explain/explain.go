// Package explain reconstructs the timeline of a request from the logs of several
// processes: the decisions about it, and the changes of the processes' view of
// backend servers and documents that the decisions were based on.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

const (
	// maxLine is the maximum length of a log line in bytes. A longer one is not a line
	// of a process's log and is skipped.
	maxLine = 1 << 20

	// stateLookback is how long before a request's first line the timeline includes
	// changes of its backend servers.
	stateLookback = 10 * time.Second
)

// The log fields that Timeline relates lines by, and those that String prints
// separately or leaves out.
const (
	fieldTime     = "ts"
	fieldID       = "id"
	fieldServer   = "srv"
	fieldPlan     = "plan"
	fieldSubject  = "server"
	fieldRevision = "revision"
	fieldWord     = "word"
	fieldUntil    = "until"
	fieldPrompt   = "prompt"
	fieldDigest   = "digest"

	// fieldStop is in lines about requests that a planned stop refuses, gives up or cuts, and
	// fieldPhase in these and in those about the stop itself.
	fieldStop  = "stop"
	fieldPhase = "phase"
	fieldSince = "since"
	fieldEntry = "entry"

	// fieldEnd is in lines about answers whose end a caller did not get.
	fieldEnd = "end"

	// fieldUnfinished is in lines about requests that a process sheds.
	fieldUnfinished = "unfinished"

	fieldMessage = "msg"
	fieldLevel   = "level"
)

type (
	// Line is one line of a log.
	Line struct {
		Source string
		At     time.Time
		fields []field
	}

	field struct{ name, value string }

	// Log holds the log lines of several processes.
	Log struct {
		lines   []Line
		skipped int
	}
)

// Read adds the lines of one source. Lines that are truncated or have another
// format are skipped and counted.
func (l *Log) Read(source string, r io.Reader) error {
	reader := bufio.NewReaderSize(r, maxLine)
	for {
		text, isPrefix, err := reader.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Annotatef(err, "%s", source)
		}
		line, ok := parse(source, text)
		if !ok || isPrefix {
			l.skipped++
		} else {
			l.lines = append(l.lines, line)
		}
		for isPrefix && err == nil {
			_, isPrefix, err = reader.ReadLine()
		}
	}
}

// Skipped returns the number of lines that were skipped.
func (l *Log) Skipped() int { return l.skipped }

// Timeline returns, in order of time, the lines about the request, the changes of the
// backend servers that it was sent to or kept from, and, from the processes that handled
// it, the lines about the documents' revisions that it was handled with, about requests
// that were shed, about the phases of a planned stop that touched it, and about the words of those
// servers that still held, however old. Lines that list it or a part of its prompt are included from
// all processes. It returns nil when no line is
// about the request.
func (l *Log) Timeline(id string) []Line {
	var timeline []Line
	t := newTraces()
	for _, line := range l.lines {
		if line.Get(fieldID) == id {
			timeline = append(timeline, line)
			t.add(line)
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	for _, line := range l.lines {
		if line.Get(fieldID) != id && t.concerns(line) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}

// Get returns the value of a field, or an empty string when the line has no such
// field.
func (l Line) Get(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// holdsAt reports whether the line is about a word of a backend server that holds at the
// time: it has no end, or a later one.
func (l Line) holdsAt(at time.Time) bool {
	if l.Get(fieldWord) == "" {
		return false
	}
	until, err := time.Parse(time.RFC3339Nano, l.Get(fieldUntil))
	return err != nil || until.After(at)
}

// String formats the line for people: time, source, message and the other fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-22s %s", l.At.Format("15:04:05.000"), l.Source, l.Get(fieldMessage))
	for _, f := range l.fields {
		switch f.name {
		case fieldTime, fieldMessage, fieldLevel, "part":
			continue
		}
		if f.value != "" && f.value != "null" {
			fmt.Fprintf(&b, " %s=%s", f.name, f.value)
		}
	}
	return b.String()
}

// parse parses a line. When text precedes the first field, such as the prefix of a
// log collector, its last word is the source.
func parse(source string, text []byte) (Line, bool) {
	start := bytes.Index(text, []byte("level="))
	if at := bytes.Index(text, []byte("part=")); at >= 0 && (start < 0 || at < start) {
		start = at
	}
	if start < 0 {
		return Line{}, false
	}
	if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	line := Line{Source: source}
	d := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		line.fields = append(line.fields, field{name: string(d.Key()), value: string(d.Value())})
	}
	at, err := time.Parse(time.RFC3339Nano, line.Get(fieldTime))
	if d.Err() != nil || err != nil {
		return Line{}, false
	}
	line.At = at
	return line, true
}
