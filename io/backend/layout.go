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

	// probeText and probeOffset are the text and offset with which a new layout
	// is verified.
	probeText   = "probe"
	probeOffset = 7
)

// Layout holds the JSON that the chunks of one answer have in common: the parts
// before the text, between text and offset, and after the offset. Chunks with the
// same layout are decoded and encoded without the JSON library.
type Layout struct {
	head, middle, tail []byte
}

// ParseLayout extracts the layout of a chunk. It reports false for a chunk that
// does not have text without escapes, followed by an offset.
func ParseLayout(event []byte) (Layout, bool) {
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
	return l, l.isValid()
}

// isValid verifies the layout with the JSON library: a chunk that is built from it
// must decode to the text and offset that were put in.
func (l Layout) isValid() bool {
	var chunk Chunk
	if json.Unmarshal(l.Append(nil, probeOffset, probeText), &chunk) != nil || len(chunk.Choices) != 1 {
		return false
	}
	return chunk.Offset == probeOffset && chunk.Choices[0].Delta.Content == probeText && chunk.Usage == nil
}

// Parse decodes a chunk that has the layout. It reports false for any other
// chunk, and for text that needs the JSON library.
func (l Layout) Parse(event []byte) (Piece, bool) {
	if !l.MatchesStart(event) {
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

// MatchesStart reports whether the chunk begins like the layout. If it does and Parse
// still fails, the layout remains valid: that chunk's text needs the JSON
// library.
func (l Layout) MatchesStart(event []byte) bool {
	return len(l.head) > 0 && bytes.HasPrefix(event, l.head)
}

// Append appends a chunk with the offset and the text to dst.
func (l Layout) Append(dst []byte, offset int64, text string) []byte {
	dst = append(dst, l.head...)
	dst = appendText(dst, text)
	dst = append(dst, l.middle...)
	dst = strconv.AppendInt(dst, offset, 10)
	return append(dst, l.tail...)
}

// appendText appends the text as the content of a JSON string.
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

// parseOffset parses a JSON number that has digits only, up to 18 of them, which
// cannot overflow.
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

// isPlain reports whether the text is a valid JSON string without escapes.
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
