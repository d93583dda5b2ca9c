package catalog

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"

	"rosereach/core/change"
)

// Restore rebuilds documents from records of the audit trail: JSON by subject.
// It ignores roll-outs, routing plans and unknown kinds of subject.
func Restore(records map[string][]byte) (Documents, error) {
	d := Documents{}.Clone()
	for _, subject := range slices.Sorted(maps.Keys(records)) {
		kind, name, _ := strings.Cut(subject, "/")
		if err := d.restore(kind, name, records[subject]); err != nil {
			return d, errors.Annotatef(err, "record of %s", subject)
		}
	}
	return d, nil
}

func (d *Documents) restore(kind, name string, record []byte) error {
	switch kind {
	case change.Template:
		return restoreInto(d.Templates, name, record)
	case change.Workspace:
		return restoreInto(d.Workspaces, name, record)
	case change.Service:
		return restoreInto(d.Services, name, record)
	case change.Version:
		return restoreInto(d.Versions, name, record)
	case change.Operator:
		return restoreInto(d.Operators, name, record)
	case change.Evacuation:
		return restoreInto(d.Evacuations, name, record)
	}
	return nil
}

// restoreInto decodes the record and adds it to documents.
func restoreInto[V any](documents map[string]V, name string, record []byte) error {
	var v V
	if err := json.Unmarshal(record, &v); err != nil {
		return errors.Trace(err)
	}
	documents[name] = v
	return nil
}

// Record returns the current document that the change writes, as JSON for the
// audit trail. It is nil when the document does not exist or holds a secret.
func (d Documents) Record(c change.Change) json.RawMessage {
	document, ok := d.find(c)
	if !ok {
		return nil
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil
	}
	return data
}

// find returns the document that the change writes, as the audit trail records
// it.
func (d Documents) find(c change.Change) (document any, ok bool) {
	kind, _, _ := strings.Cut(c.Subject(), "/")
	switch kind {
	case change.Template:
		document, ok = d.Templates[c.Name]
	case change.Workspace:
		document, ok = d.Workspaces[c.Name]
	case change.Service:
		document, ok = d.Services[c.Name]
	case change.Version:
		document, ok = d.Versions[c.Name]
	case change.Operator:
		document, ok = d.Operators[c.Name]
	case change.Evacuation:
		document, ok = d.Evacuations[c.Name]
	case change.Rollout:
		document, ok = d.Rollouts[c.Name]
	case change.Routing:
		document, ok = d.summarizeRouting(), d.Routing != nil
	}
	return document, ok
}
