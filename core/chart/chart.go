// Package chart loads state charts from embedded JSON files and computes their
// transitions. A file lists the states, and for each state the accepted triggers
// with their target states.
package chart

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/qmuntal/stateless"

	"rosereach/core/finding"
)

type (
	// Chart is a state chart with states S and triggers T. It is safe for
	// concurrent use, because the caller holds the current state.
	Chart[S, T ~string] struct {
		name    string
		initial S
		machine *stateless.StateMachine
	}

	// document is the file format of a chart.
	document struct {
		Name    string  `json:"name"`
		Initial string  `json:"initial"`
		States  []state `json:"states"`
	}

	// state is one state of a chart file.
	state struct {
		Name string `json:"name"`
		// On maps each accepted trigger to its target state.
		On map[string]string `json:"on"`
	}

	// stateHolder stores the current state during one transition.
	stateHolder struct{ state any }

	// stateHolderKey is the context key of a stateHolder.
	stateHolderKey struct{}
)

// Load parses a chart file. The error lists all findings of the file.
func Load[S, T ~string](data []byte) (*Chart[S, T], error) {
	var doc document
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return nil, errors.Annotate(err, "state chart is not valid JSON")
	}
	if err := doc.check().Err(); err != nil {
		return nil, errors.Annotatef(err, "state chart %q", doc.Name)
	}
	return build[S, T](doc), nil
}

// MustLoad is Load for embedded files. It panics when the file is invalid.
func MustLoad[S, T ~string](data []byte) *Chart[S, T] {
	c, err := Load[S, T](data)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the initial state.
func (c *Chart[S, T]) Initial() S { return c.initial }

// Next returns the state after the trigger. The error satisfies errors.NotValid
// when the state does not accept the trigger.
func (c *Chart[S, T]) Next(from S, trigger T) (S, error) {
	h := &stateHolder{state: from}
	ctx := context.WithValue(context.Background(), stateHolderKey{}, h)
	if err := c.machine.FireCtx(ctx, trigger); err != nil {
		return from, errors.NotValidf("%s: trigger %q in state %q", c.name, trigger, from)
	}
	to, ok := h.state.(S)
	if !ok {
		return from, errors.Errorf("%s: state %v has the wrong type", c.name, h.state)
	}
	return to, nil
}

// Accepts reports whether the state accepts the trigger.
func (c *Chart[S, T]) Accepts(from S, trigger T) bool {
	_, err := c.Next(from, trigger)
	return err == nil
}

func (d document) check() finding.List {
	var found finding.List
	known := make(map[string]bool, len(d.States))
	for _, s := range d.States {
		known[s.Name] = true
	}
	if !known[d.Initial] {
		found.Add("initial", "unknown state "+d.Initial, "a name from states")
	}
	for _, s := range d.States {
		for trigger, target := range s.On {
			if !known[target] {
				found.Add(s.Name+".on."+trigger, "unknown state "+target, "a name from states")
			}
		}
	}
	return found
}

func build[S, T ~string](d document) *Chart[S, T] {
	read := func(ctx context.Context) (stateless.State, error) {
		h, ok := ctx.Value(stateHolderKey{}).(*stateHolder)
		if !ok {
			return nil, errors.New("no state in the context")
		}
		return h.state, nil
	}
	write := func(ctx context.Context, s stateless.State) error {
		h, ok := ctx.Value(stateHolderKey{}).(*stateHolder)
		if !ok {
			return errors.New("no state in the context")
		}
		h.state = s
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	for _, s := range d.States {
		c := m.Configure(S(s.Name))
		for trigger, target := range s.On {
			if target == s.Name {
				c.PermitReentry(T(trigger))
				continue
			}
			c.Permit(T(trigger), S(target))
		}
	}
	return &Chart[S, T]{name: d.Name, initial: S(d.Initial), machine: m}
}
