package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rosereach/core/backend"
)

// For any input, no piece is empty, there are no more pieces than events, and the
// answer is complete only if it has usage and end marker.
func FuzzReadStream(f *testing.F) {
	f.Add(strings.Join([]string{token0, token1, end2, done}, "\n\n"))
	f.Add(token0 + "\n" + done)
	f.Add("data: {\"id\":\"a\",\"choices\":[{}],\"usage\":null}\r\n\r\n" + done)
	f.Add("data: {\"id\":\"b\"}\n")
	f.Add("data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"\\u00e9\\n\\\"\"}}],\"offset\":-1}\n")
	f.Fuzz(func(t *testing.T, text string) {
		pieces := 0
		_, err := readStream(strings.NewReader(text), "a", func(p Piece) error {
			pieces++
			if p.Text == "" {
				t.Error("empty piece")
			}
			return nil
		})
		if err == nil && (!strings.Contains(text, eventDone) || !strings.Contains(text, "usage")) {
			t.Errorf("complete without usage and end: %q", text)
		}
		if pieces > strings.Count(text, "data: ") {
			t.Errorf("%d pieces from %q", pieces, text)
		}
	})
}

// For any body, an announcement is accepted only if it passes its own checks.
func FuzzAnnounce(f *testing.F) {
	f.Add([]byte(`{"id":"a","incarnation":1,"kind":"engine","state":"serving","address":"127.0.0.1:1","capacity":1}`))
	f.Add([]byte(`{"id":"a","incarnation":1,"kind":"plain","service":"ledger","state":"leaving","address":"x","capacity":1}`))
	f.Add([]byte(`{"id":"","versions":[{}]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, body []byte) {
		accepted := 0
		h := AnnounceHandler("key", func(a backend.Announcement) {
			accepted++
			if err := a.Check().Err(); err != nil {
				t.Errorf("accepted although %v", err)
			}
		})
		r := httptest.NewRequest(http.MethodPost, PathAnnounce, strings.NewReader(string(body)))
		r.Header.Set("Authorization", "Bearer key")
		w := httptest.NewRecorder()
		h(w, r)
		if (w.Code == http.StatusNoContent) != (accepted == 1) {
			t.Errorf("status %d, accepted %d", w.Code, accepted)
		}
	})
}
