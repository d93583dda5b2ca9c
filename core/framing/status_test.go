package framing_test

import (
	"fmt"
	"testing"

	"rosereach/core/framing"
)

func ExampleParseStatus() {
	fmt.Println(framing.ParseStatus("404 Not Found"))
	fmt.Println(framing.ParseStatus("000 Trouble"))
	// Output:
	// 404 true
	// 0 false
}

func TestParseStatus(t *testing.T) {
	for text, want := range map[string]bool{
		"100": true, "103 Early Hints": true, "200": true, "200 ": true, "404 Not Found": true, "299 x": true, "599 X": true,
		"": false, "000": false, "001 X": false, "099": false, "600": false, "999 X": false, "+20": false, "-20 X": false,
		"20": false, "2000": false, "20x": false, "2 0": false, "200\tOK": false, "2e1": false, "OK": false, "２００": false,
	} {
		if status, ok := framing.ParseStatus(text); ok != want || ok && fmt.Sprint(status) != text[:3] {
			t.Errorf("%q: %d, %v", text, status, ok)
		}
	}
}

func TestIsFinal(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 99: false, 100: false, 101: false, 199: false, 200: true, 599: true, 600: false, 999: false} {
		if framing.IsFinal(status) != want {
			t.Errorf("%d: %v", status, !want)
		}
	}
}

func TestIsVersion(t *testing.T) {
	for version, want := range map[string]bool{
		"HTTP/1.1": true, "HTTP/1.0": true, "HTTP/1.2": true,
		"": false, "HTTP/2.0": false, "HTTP/0.9": false, "HTTP/1.": false, "HTTP/1.10": false, "HTTP/1.x": false, "http/1.1": false, "ICY": false,
	} {
		if framing.IsVersion(version) != want {
			t.Errorf("%q: %v", version, !want)
		}
	}
}
