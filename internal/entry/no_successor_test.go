package entry

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rosereach/core/backend"
	"rosereach/core/health"
	"rosereach/core/route"
)

// Streams waited for a silent server until the exit, and no line told whether the budget was used up
// or no other server took requests.
func TestSilentAttemptSaysWhyItHasNoSuccessor(t *testing.T) {
	for why, c := range map[string]struct {
		slack float64
		other func(p *pausedStream)
	}{
		"no_retry": {0, func(p *pausedStream) { p.server("b", p.serve) }},
		"no_server": {50, func(p *pausedStream) {
			p.server("b", p.serve)
			p.entry.forwarder.restraints.Hear(p.clock.Now(), "b", 1, health.Word{HoldOff: time.Minute})
		}},
		"not_reached": {50, func(p *pausedStream) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				p.t.Fatal(err)
			}
			l.Close()
			p.announce("b", l.Addr().String(), 1, backend.Serving)
		}},
	} {
		t.Run(why, func(t *testing.T) {
			p := newPausedStream(t, c.slack, refuse)
			var out lockedBuffer
			p.entry.cfg.Logger = log.NewLogfmtLogger(&out)
			p.changeRoutes(func(r *route.Route) { r.Timeout = time.Minute })
			p.start()
			c.other(p)
			p.advanceUntil("a judgement", func() bool { return strings.Contains(out.String(), "Silent attempt is judged.") })
			close(p.resume)
			p.advanceUntil("the end", func() bool { return len(p.ended) > 0 })
			if !strings.Contains(out.String(), " next= why="+why+" ") {
				t.Error(out.String())
			}
		})
	}
}
