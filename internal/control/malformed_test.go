package control

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"rosereach/io/member"
)

// Messages with changed bytes, as a faulty member sends them, take no control down: each is
// handled or refused, and the control answers sound ones afterward.
func TestMalformedMessagesAreSurvived(t *testing.T) {
	kinds := map[member.Kind]string{
		member.KindWatch: "watch_request", member.KindPresence: "presence", member.KindTrial: "trial_request", member.KindTrialResult: "trial_result",
		member.KindJoin: "join_request", member.KindDocuments: "documents_request", member.KindPropose: "propose_request",
		member.KindRelease: "release_notice", member.KindInForce: "in_force_request", member.KindRemove: "remove_request", member.KindLookup: "servers_query",
		member.KindLimits: "watch_request", member.KindEvidence: "watch_reply", member.KindLease: "peer", member.KindReplica: "replica_messages", "unknown": "peer",
	}
	n := newWatchedNode(t, 2, 2)
	random := rand.New(rand.NewPCG(1, 1))
	server := httptest.NewServer(n.Handler())
	defer server.Close()
	conn, err := n.dial(context.Background(), server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for kind, name := range kinds {
		data, err := os.ReadFile(filepath.Join("..", "compat", "testdata", "3a9a490", name+".cbor"))
		if err != nil {
			t.Fatal(err)
		}
		for range 400 {
			body := append([]byte(nil), data...)
			for range 1 + random.IntN(4) {
				body[random.IntN(len(body))] = byte(random.UintN(256))
			}
			body = body[:random.IntN(len(body)+1)]
			n.Handle(ctx, conn, kind, body) //nolint:errcheck // a refusal is as good as an answer
		}
	}
	if got := n.watchReply(member.WatchRequest{}); got.RunID != n.runID {
		t.Errorf("%+v", got)
	}
	n.judgeSpeeds(n.cfg.Clock.Now())
	n.judgeServers(n.cfg.Clock.Now())
	n.judgeParts(n.cfg.Clock.Now())
	n.Entries("h", "r", "z")
}
