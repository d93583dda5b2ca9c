package metrics_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/clock/testclock"

	"rosereach/internal/metrics"
)

var start = time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)

func read(t *testing.T, s *metrics.Set) map[string]json.RawMessage {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
	var vars map[string]json.RawMessage
	if err := json.Unmarshal(w.Body.Bytes(), &vars); err != nil {
		t.Fatal(err)
	}
	return vars
}

func TestHistogramDropsOldWindows(t *testing.T) {
	c := testclock.NewClock(start)
	h := metrics.NewSet(c).Histogram("wait")
	for i := range 100 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	p := h.Percentiles()
	if p.Count != 100 || p.P50 < 49_500 || p.P50 > 50_500 || p.P95 < 94_000 || p.P95 > 96_000 {
		t.Errorf("%+v", p)
	}
	c.Advance(10 * time.Minute)
	if diff := cmp.Diff(metrics.Percentiles{Count: 100}, h.Percentiles()); diff != "" {
		t.Error(diff)
	}
}

func TestRequestsAreMeasured(t *testing.T) {
	c := testclock.NewClock(start)
	s := metrics.NewSet(c)
	var lines strings.Builder
	r := chi.NewRouter()
	r.Use(metrics.NewRequests(s, "X-Outcome", log.NewLogfmtLogger(&lines)).Measure)
	r.Get("/v1/services/{service}", func(w http.ResponseWriter, _ *http.Request) {
		c.Advance(20 * time.Millisecond)
		w.Header().Set("X-Outcome", "done")
		w.Write([]byte("x"))
		c.Advance(30 * time.Millisecond)
	})
	r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/services/secret?q=secret", nil))
	vars := read(t, s)
	for name, want := range map[string]string{
		"requests_by_status": `{"200": 1}`, "requests_by_outcome": `{"done": 1}`,
	} {
		if got := string(vars[name]); got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	var first, whole metrics.Percentiles
	if json.Unmarshal(vars["first_byte"], &first) != nil || json.Unmarshal(vars["whole_answer"], &whole) != nil {
		t.Fatal(vars)
	}
	if first.P50 < 19_800 || first.P50 > 20_200 || whole.P50 < 49_500 || whole.P50 > 50_500 {
		t.Errorf("first byte %+v, whole answer %+v", first, whole)
	}
	if text := lines.String(); strings.Contains(text, "secret") || !strings.Contains(text, "GET /v1/services/{service}") {
		t.Errorf("log line: %s", text)
	}
}
