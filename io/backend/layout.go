package backend

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

const (
	contentField = `"content":"`
	offsetField  = `"offset":`

	// probeText and probeOffset stand for any text and offset when a layout is
	// checked.
	probeText   = "probe"
	probeOffset = 7
)

// Layout is the bytes around text and offset that the chunks of one answer
// have in common. Chunks of the same layout are read and written without
// going through their whole JSON again.
type Layout struct {
	head, middle, tail []byte
}

// LearnLayout returns the layout of a chunk. It reports false for chunks that
// have no plain text before an offset.
func LearnLayout(event []byte) (Layout, bool) {
	from := bytes.Index(event, []byte(contentField)) + len(contentField)
	if from < len(contentField) {
		return Layout{}, false
	}
	text, rest, ok := bytes.Cut(event[from:], []byte{'"'})
	if !ok || !isPlain(text) {
		return Layout{}, false
	}
	at := bytes.Index(rest, []byte(offsetField)) + len(offsetField)
	if at < len(offsetField) {
		return Layout{}, false
	}
	l := Layout{
		head: bytes.Clone(event[:from]), middle: append([]byte{'"'}, rest[:at]...),
		tail: bytes.Clone(bytes.TrimLeft(rest[at:], "0123456789")),
	}
	return l, l.holds()
}

// holds checks the layout with the JSON library: text and offset must stand
// where they were found.
func (l Layout) holds() bool {
	var chunk Chunk
	if json.Unmarshal(l.Append(nil, probeOffset, probeText), &chunk) != nil || len(chunk.Choices) != 1 {
		return false
	}
	return chunk.Offset == probeOffset && chunk.Choices[0].Delta.Content == probeText && chunk.Usage == nil
}

// Read returns the piece of a chunk that has the layout. It reports false for
// any other one.
func (l Layout) Read(event []byte) (Piece, bool) {
	if !l.Fits(event) {
		return Piece{}, false
	}
	rest := event[len(l.head):]
	end := bytes.IndexByte(rest, '"')
	if end <= 0 || !isPlain(rest[:end]) || !bytes.HasPrefix(rest[end:], l.middle) {
		return Piece{}, false
	}
	number, ok := bytes.CutSuffix(rest[end+len(l.middle):], l.tail)
	if !ok {
		return Piece{}, false
	}
	offset, ok := parseOffset(number)
	return Piece{Offset: offset, Text: string(rest[:end])}, ok
}

// Fits reports whether the chunk begins as the layout does. One that does and
// cannot be read has a text that needs the JSON library.
func (l Layout) Fits(event []byte) bool { return len(l.head) > 0 && bytes.HasPrefix(event, l.head) }

// Append adds a chunk with the offset and the text to dst.
func (l Layout) Append(dst []byte, offset int64, text string) []byte {
	dst = append(dst, l.head...)
	dst = appendText(dst, text)
	dst = append(dst, l.middle...)
	dst = strconv.AppendInt(dst, offset, 10)
	return append(dst, l.tail...)
}

func appendText(dst []byte, text string) []byte {
	if isPlain([]byte(text)) {
		return append(dst, text...)
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return dst
	}
	return append(dst, quoted[1:len(quoted)-1]...)
}

// parseOffset reads a number of digits only.
func parseOffset(digits []byte) (int64, bool) {
	const maxDigits = 18
	if len(digits) == 0 || len(digits) > maxDigits || (digits[0] == '0' && len(digits) > 1) {
		return 0, false
	}
	var n int64
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int64(d-'0')
	}
	return n, true
}

// isPlain reports whether text stands for itself between quotes in JSON.
func isPlain(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
