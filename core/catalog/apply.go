package catalog

import (
	"encoding/json"
	"maps"
	"slices"

	"rosereach/core/change"
	"rosereach/core/finding"
	"rosereach/core/service"
	"rosereach/core/shape"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/workspace"
)

// maxSealKeys is the number of seal keys that are retained. A session token becomes
// invalid after that many rotations of the key.
const maxSealKeys = 4

// Apply returns the documents after the change, at the given revision, and the
// result. The documents are unchanged unless the result is Accepted.
func (d Documents) Apply(c change.Change, revision uint64) (Documents, change.Result) {
	if current := d.RevisionOf(c); c.ExpectedRevision != nil && *c.ExpectedRevision != current {
		return d, change.Result{Status: change.Conflict, Revision: current}
	}
	next := d.Clone()
	next.Revision = revision
	result := next.applyInPlace(c, revision)
	if result.Status != change.Accepted {
		return d, result
	}
	return next, result
}

// RevisionOf returns the current revision of the document that the change
// writes, or 0 when the document does not exist. For a seal key or a routing plan
// it is the revision of all documents.
func (d Documents) RevisionOf(c change.Change) uint64 {
	switch c.Kind {
	case change.PutTemplate:
		return d.Templates[c.Name].Revision
	case change.PutWorkspace, change.AddKey, change.RemoveKey:
		return d.Workspaces[c.Name].Revision
	case change.PutService:
		return d.Services[c.Name].Revision
	case change.PutVersion, change.MoveVersion:
		return d.Versions[c.Name].Revision
	case change.PutOperator, change.AddOperatorKey, change.RemoveOperatorKey:
		return d.Operators[c.Name].Revision
	case change.PutRollout, change.MoveRollout:
		return d.Rollouts[c.Name].Revision
	case change.PutEvacuation:
		return d.Evacuations[c.Name].Revision
	}
	return d.Revision
}

// applyInPlace applies the change to d in place.
func (d *Documents) applyInPlace(c change.Change, revision uint64) change.Result {
	accepted := change.Result{Status: change.Accepted, Revision: revision}
	switch c.Kind {
	case change.PutTemplate:
		return d.putTemplate(c, accepted)
	case change.PutWorkspace:
		return d.putWorkspace(c, accepted)
	case change.AddKey, change.RemoveKey:
		return d.updateKey(c, accepted)
	case change.PutService:
		return d.putService(c, accepted)
	case change.PutVersion:
		return d.putVersion(c, accepted)
	case change.MoveVersion:
		return d.moveVersion(c, accepted)
	case change.RotateSeal:
		return d.rotateSeal(c, accepted)
	case change.PutRouting:
		return d.putRouting(c, accepted)
	case change.PutRollout:
		return d.putRollout(c, accepted)
	case change.MoveRollout:
		return d.moveRollout(c, accepted)
	case change.PutEvacuation:
		return d.putEvacuation(c, accepted)
	case change.EnableFeature:
		if _, ok := d.Features[change.Feature(c.Name)]; !ok {
			d.Features[change.Feature(c.Name)] = accepted.Revision
		}
		return accepted
	case change.PutOperator:
		return d.putOperator(c, accepted)
	case change.AddOperatorKey, change.RemoveOperatorKey:
		return d.updateOperatorKey(c, accepted)
	}
	return change.RefuseFor("kind", "unknown kind "+string(c.Kind), "a kind of change")
}

func (d *Documents) putTemplate(c change.Change, accepted change.Result) change.Result {
	t, found := template.Parse(c.Document)
	if t.Name != c.Name {
		found.Add("name", "differs from the change's name", c.Name)
	}
	if len(found) == 0 {
		found = d.checkWorkspaces(t)
	}
	if len(found) > 0 {
		return change.Refuse(found)
	}
	t.Revision = accepted.Revision
	d.Templates[c.Name] = t
	return accepted
}

// checkWorkspaces validates the workspaces of the template against it. The findings
// have the same order on every replica.
func (d *Documents) checkWorkspaces(t template.Template) finding.List {
	var found finding.List
	for _, name := range slices.Sorted(maps.Keys(d.Workspaces)) {
		w := d.Workspaces[name]
		if w.Template != t.Name {
			continue
		}
		_, valueFindings := t.Fill(w.Values)
		found.AddNested("workspaces."+name, valueFindings)
	}
	return found
}

func (d *Documents) putWorkspace(c change.Change, accepted change.Result) change.Result {
	w, found := shape.Decode[workspace.Workspace](c.Document)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	found = w.Check()
	if w.Name != c.Name {
		found.Add("name", "differs from the change's name", c.Name)
	}
	t, ok := d.Templates[w.Template]
	if !ok {
		found.Add("template", "no template "+w.Template, "the name of a template")
	} else {
		_, valueFindings := t.Fill(w.Values)
		found = append(found, valueFindings...)
	}
	if len(found) > 0 {
		return change.Refuse(found)
	}
	w.KeyHashes = d.Workspaces[c.Name].KeyHashes
	w.Revision = accepted.Revision
	d.Workspaces[c.Name] = w
	return accepted
}

// updateKey adds a key to a workspace or removes one.
func (d *Documents) updateKey(c change.Change, accepted change.Result) change.Result {
	keyDocument, found := decodeKey(c)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	w, ok := d.Workspaces[c.Name]
	if !ok {
		return change.RefuseFor("name", "no workspace "+c.Name, "the name of a workspace")
	}
	if c.Kind == change.AddKey && d.isKeyOfOtherWorkspace(c.Name, keyDocument.Hash) {
		return change.RefuseFor("hash", "the key belongs to another workspace", "a new key")
	}
	if c.Kind == change.AddKey {
		w = w.WithKey(keyDocument.Hash)
	} else {
		w = w.WithoutKey(keyDocument.Hash)
	}
	w.Revision = accepted.Revision
	d.Workspaces[c.Name] = w
	return accepted
}

// isKeyOfOtherWorkspace reports whether the key belongs to a workspace other than the
// named one.
func (d *Documents) isKeyOfOtherWorkspace(workspaceName, hash string) bool {
	for name, w := range d.Workspaces {
		if name != workspaceName && slices.Contains(w.KeyHashes, hash) {
			return true
		}
	}
	return false
}

func (d *Documents) putService(c change.Change, accepted change.Result) change.Result {
	s, found := decodeDocument(c, "name", func(s service.Service) string { return s.Name })
	if len(found) > 0 {
		return change.Refuse(found)
	}
	s.Revision = accepted.Revision
	d.Services[c.Name] = s
	return accepted
}

func (d *Documents) putVersion(c change.Change, accepted change.Result) change.Result {
	v, found := decodeDocument(c, "ref", func(v version.Version) string { return v.Ref.String() })
	if len(found) > 0 {
		return change.Refuse(found)
	}
	v.State = version.Loaded
	if old, ok := d.Versions[c.Name]; ok {
		v.State, v.Share = old.State, old.Share
	}
	v.Revision = accepted.Revision
	d.Versions[c.Name] = v
	return accepted
}

func (d *Documents) moveVersion(c change.Change, accepted change.Result) change.Result {
	move, found := shape.Decode[change.Move](c.Document)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	v, ok := d.Versions[c.Name]
	if !ok {
		return change.RefuseFor("name", "no version "+c.Name, "model@version")
	}
	v, err := v.WithTrigger(version.Trigger(move.Trigger))
	if err != nil {
		return change.RefuseFor("trigger", err.Error(), "a trigger that the version's state accepts")
	}
	v = v.WithShare(move.Share)
	v.Revision = accepted.Revision
	d.Versions[c.Name] = v
	return accepted
}

func (d *Documents) rotateSeal(c change.Change, accepted change.Result) change.Result {
	var seal SealKey
	if err := json.Unmarshal(c.Document, &seal); err != nil || seal.ID == "" || len(seal.Secret) == 0 {
		return change.RefuseFor("seal_key", "missing id or secret", "an id and 32 random bytes")
	}
	d.SealKeys = append([]SealKey{seal}, d.SealKeys...)
	d.SealKeys = d.SealKeys[:min(len(d.SealKeys), maxSealKeys)]
	return accepted
}

// checker is a document that can validate itself.
type checker interface{ Check() finding.List }

// decodeDocument decodes and validates the change's document. The name that getName
// returns must be the change's name; a finding about it gets the path namePath.
func decodeDocument[D checker](c change.Change, namePath string, getName func(D) string) (D, finding.List) {
	document, found := shape.Decode[D](c.Document)
	if len(found) > 0 {
		return document, found
	}
	found = document.Check()
	if getName(document) != c.Name {
		found.Add(namePath, "differs from the change's name", c.Name)
	}
	return document, found
}
