package httpd_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// A server whose callers connected anew after each answer accepted them for 6 s once its stop had
// begun, whatever time the stop had.
func TestCallersWhoConnectAnewDoNotHoldAStop(t *testing.T) {
	certificates := httptest.NewTLSServer(http.NotFoundHandler())
	defer certificates.Close()
	timeouts := httpd.Timeouts{
		Shutdown: func() time.Duration { return 200 * time.Millisecond },
		End:      func() time.Duration { return 150 * time.Millisecond },
	}
	for name, c := range map[string]struct {
		wrap   func(net.Listener) net.Listener
		client func(net.Conn) net.Conn
	}{
		"plain":            {},
		"without deadline": {wrap: func(l net.Listener) net.Listener { return struct{ net.Listener }{l} }},
		"TLS": {
			wrap: func(l net.Listener) net.Listener {
				return tls.NewListener(l, &tls.Config{Certificates: certificates.TLS.Certificates})
			},
			client: func(c net.Conn) net.Conn { return tls.Client(c, &tls.Config{InsecureSkipVerify: true}) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			const callers = 100
			s := startStoppable(t, httpd.Server{
				Timeouts: timeouts,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusServiceUnavailable)
				}),
			}, c.wrap)
			var answered, ended sync.WaitGroup
			answered.Add(callers)
			for range callers {
				ended.Go(func() {
					for first := true; ; first = false {
						err := askOnce(s.address, c.client)
						if first {
							answered.Done()
						}
						if err != nil {
							return
						}
					}
				})
			}
			answered.Wait()
			began := time.Now()
			s.stop()
			s.await(t)
			if took, limit := time.Since(began), timeouts.Shutdown()+2*timeouts.End(); took > limit {
				t.Errorf("the server ended after %s, allowed are %s", took, limit)
			}
			ended.Wait()
		})
	}
}

// askOnce sends a request on a connection of its own and reads its answer. It returns an error only
// if it could not connect.
func askOnce(address string, wrap func(net.Conn) net.Conn) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if wrap != nil {
		c = wrap(c)
	}
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	io.Copy(io.Discard, c)
	return nil
}
