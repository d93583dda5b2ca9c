package main

import (
	"fmt"
	"net/http"
	"time"
)

// served plays an operator who sends the first configuration until it is acknowledged, and clients whose
// requests may be repeated. It reports whether any request is served within the time.
func served(controls, entries []string, host string, until time.Time) bool {
	if _, err := startWorker("i-1", host+".201:8066", controls, answerWell); err != nil {
		record("worker: %v", err)
		exit(2)
	}
	go putConfig(controls, 1, until)
	statuses := make(map[int]int)
	for i := 0; time.Now().Before(until); i++ {
		status, _ := send(entries[i%len(entries)], http.MethodGet, "/lookup/1", fmt.Sprintf("lookup-%d", i))
		if statuses[status]++; statuses[status] == 1 {
			record("client: the first answer with status %d (0 for none)", status)
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	record("client: answers by status: %v", statuses)
	return false
}
