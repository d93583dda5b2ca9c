package backend

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/overload"
)

// maxAnnouncementBytes is the maximum size of an announcement's body.
const maxAnnouncementBytes = 64 << 10

// AnnounceHandler returns a handler for announcements of backend servers. It calls
// observe with each valid announcement that is sent with the key.
func AnnounceHandler(key string, observe func(backend.Announcement)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		authorization := r.Header.Get("Authorization")
		if subtle.ConstantTimeCompare([]byte(authorization), []byte("Bearer "+key)) != 1 {
			http.Error(w, "wrong backend server key", http.StatusUnauthorized)
			return
		}
		var a backend.Announcement
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
			http.Error(w, err.Error(), bodyErrorStatus(err))
			return
		}
		if err := a.Check().Err(); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		observe(a)
		w.WriteHeader(http.StatusNoContent)
	}
}

// bodyErrorStatus returns the status for an announcement that can't be read.
func bodyErrorStatus(err error) int {
	var refusal *overload.Refusal
	if errors.As(err, &refusal) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// Announce sends an announcement to the entry at the address.
func Announce(ctx context.Context, client *http.Client, address, key string, a backend.Announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return errors.Annotatef(err, "entry at %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("entry at %s: status %d", address, resp.StatusCode)
	}
	return nil
}
