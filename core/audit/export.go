package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of one line of an export, in bytes.
const maxLineBytes = 4 << 20

// Export writes the page as JSON lines: a header line with the previous hash and
// the base, then one line for each event.
func (p Page) Export(w io.Writer) error {
	header := Page{PreviousHash: p.PreviousHash, Base: p.Base}
	if err := writeLine(w, header); err != nil {
		return err
	}
	for _, e := range p.Events {
		if err := writeLine(w, e); err != nil {
			return err
		}
	}
	return nil
}

// ReadExport reads and verifies an export. Each line must match the encoding of
// Export byte for byte: another encoding of the same JSON value is an error.
func ReadExport(r io.Reader) (Page, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var p Page
	if !lines.Scan() {
		return p, errors.Annotate(ErrBroken, "the export is empty")
	}
	if err := readLine(lines.Bytes(), &p); err != nil {
		return p, errors.Annotate(err, "line 1")
	}
	for n := 2; lines.Scan(); n++ {
		var e Event
		if err := readLine(lines.Bytes(), &e); err != nil {
			return p, errors.Annotatef(err, "line %d", n)
		}
		p.Events = append(p.Events, e)
	}
	if err := lines.Err(); err != nil {
		return p, errors.Trace(err)
	}
	return p, p.Verify()
}

// Verify checks the page's chain, and the hash and the order of each event of
// its base.
func (p Page) Verify() error {
	for i, e := range p.Base {
		if computeHash(e) != e.Hash {
			return errors.Annotatef(ErrBroken, "event %d of the base was changed", e.Sequence)
		}
		if i > 0 && e.Sequence <= p.Base[i-1].Sequence {
			return errors.Annotatef(ErrBroken, "event %d of the base is out of order", e.Sequence)
		}
	}
	if n := len(p.Base); n > 0 && len(p.Events) > 0 && p.Base[n-1].Sequence >= p.Events[0].Sequence {
		return errors.Annotate(ErrBroken, "the base overlaps the events")
	}
	return Verify(p.PreviousHash, p.Events)
}

func writeLine(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = w.Write(append(data, '\n'))
	return errors.Trace(err)
}

func readLine(line []byte, v any) error {
	if err := json.Unmarshal(line, v); err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	encoded, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	if !bytes.Equal(encoded, line) {
		return errors.Annotate(ErrBroken, "the line differs from the encoding of its value")
	}
	return nil
}
