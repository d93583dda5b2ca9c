package entry

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkStreams sends streamed chats through an entry in this process. It is
// meant for profiling: its time is determined by the engine's steps.
func BenchmarkStreams(b *testing.B) {
	const (
		streams = 64
		tokens  = 200
	)
	f := newFleet(b, 1)
	f.startEngine("engine-1", 5*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	body := fmt.Sprintf(`{"model":"small","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":%d}`, tokens)
	send := func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+f.addrs[0]+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+f.key)
		req.Header.Set("Idempotency-Key", rand.Text())
		resp, err := client.Do(req)
		if err != nil {
			b.Error(err)
			return
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.HasSuffix(data, []byte("[DONE]\n\n")) {
			b.Errorf("answer of %d bytes is cut: %v", len(data), err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		var all sync.WaitGroup
		for range streams {
			all.Go(send)
		}
		all.Wait()
	}
}
