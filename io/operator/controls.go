package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
)

type (
	// ControlsBackend changes the membership of the replication group.
	ControlsBackend interface {
		AddControl(ctx context.Context, address string) error
		RemoveControl(ctx context.Context, id string) error
		Controls() Controls
	}

	// Controls are the members of the replication group.
	Controls struct {
		Leader   string    `json:"leader"`
		Term     uint64    `json:"term"`
		Controls []Control `json:"controls"`
	}

	// Control is one member of the group.
	Control struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
		Address     string `json:"address"`
		// Voter is false while the control catches up with the log.
		Voter bool `json:"voter"`
	}

	// AddControlRequest is the request to add the control at the address, host:port.
	AddControlRequest struct {
		Address string `json:"address"`
	}

	controlsHandler struct{ backend ControlsBackend }
)

// Controls returns the members of the replication group.
func (c Client) Controls(ctx context.Context) (Controls, error) {
	var list Controls
	return list, c.do(ctx, http.MethodGet, "/v1/controls", nil, &list)
}

// AddControl adds the control at the address, host:port, to the group. It returns
// before the control is a voter.
func (c Client) AddControl(ctx context.Context, address string) error {
	body, err := json.Marshal(AddControlRequest{Address: address})
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, http.MethodPost, "/v1/controls", body, &Controls{})
}

// RemoveControl removes the control from the group.
func (c Client) RemoveControl(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, "/v1/controls/"+url.PathEscape(id), nil, &Controls{})
}

func (c *controlsHandler) get(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.backend.Controls())
}

func (c *controlsHandler) add(w http.ResponseWriter, r *http.Request) {
	var req AddControlRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxChangeBytes)).Decode(&req); err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Code: "bad_request", Detail: err.Error()})
		return
	}
	c.reply(w, c.backend.AddControl(r.Context(), req.Address))
}

func (c *controlsHandler) remove(w http.ResponseWriter, r *http.Request) {
	c.reply(w, c.backend.RemoveControl(r.Context(), chi.URLParam(r, "id")))
}

// reply writes the members after a change, or a problem if the change failed.
func (c *controlsHandler) reply(w http.ResponseWriter, err error) {
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusConflict, Code: "refused", Detail: err.Error() + "; check the list of controls and try again"})
		return
	}
	writeJSON(w, http.StatusOK, c.backend.Controls())
}
