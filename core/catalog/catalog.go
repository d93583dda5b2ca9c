// Package catalog holds the documents that decide what traffic may do, at one
// revision, and the permissions that follow from them. A Catalog is immutable.
package catalog

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"rosereach/core/key"
	"rosereach/core/operator"
	"rosereach/core/rollout"
	"rosereach/core/route"
	"rosereach/core/service"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/workspace"
)

// The reasons for which a request is not permitted.
const (
	ErrUnknownWorkspace = errors.ConstError("no such workspace")
	ErrClosedWorkspace  = errors.ConstError("the workspace is closed")
	ErrUnknownVersion   = errors.ConstError("no such version")
	ErrNotAllowed       = errors.ConstError("the workspace's template does not allow it")
	ErrNotServing       = errors.ConstError("the version takes no new work")
	ErrUnknownOperator  = errors.ConstError("no such operator")
	ErrUnknownService   = errors.ConstError("no such service")
)

type (
	// Documents are the documents of one revision, in the form in which they
	// are stored and sent to entries.
	Documents struct {
		Revision   uint64                         `json:"revision"`
		Templates  map[string]template.Template   `json:"templates"`
		Workspaces map[string]workspace.Workspace `json:"workspaces"`
		Versions   map[string]version.Version     `json:"versions"`
		Services   map[string]service.Service     `json:"services"`
		Operators  map[string]operator.Operator   `json:"operators,omitempty"`
		SealKeys   []SealKey                      `json:"seal_keys"`
		Routing    *route.Document                `json:"routing,omitempty"`
		Rollouts   map[string]rollout.Order       `json:"rollouts,omitempty"`
	}

	// SealKey is a key for session tokens. The newest seals; all open.
	SealKey struct {
		ID     string `json:"id"`
		Secret []byte `json:"secret"`
	}

	// Catalog answers questions about the documents of one revision.
	Catalog struct {
		docs     Documents
		policies map[string]template.Policy
		owners   map[string]string
		routes   *route.Table
	}
)

// New returns the catalog of the documents. A workspace whose values do not
// fit its template gets no policy, and so no permissions.
func New(docs Documents) *Catalog {
	c := &Catalog{
		docs:     docs,
		policies: make(map[string]template.Policy, len(docs.Workspaces)),
		owners:   make(map[string]string),
	}
	if docs.Routing != nil {
		c.routes = route.NewTable(docs.Routing.Config)
	}
	for name, w := range docs.Workspaces {
		policy, found := docs.Templates[w.Template].Fill(w.Values)
		if len(found) > 0 {
			continue
		}
		c.policies[name] = policy
		for _, hash := range w.KeyHashes {
			c.owners[hash] = name
		}
	}
	return c
}

// Revision returns the revision of the documents.
func (c *Catalog) Revision() uint64 { return c.docs.Revision }

// Routes returns the operator's routing plan, nil while there is none.
func (c *Catalog) Routes() *route.Table { return c.routes }

// Rollout returns the newest roll-out of a service.
func (c *Catalog) Rollout(service string) (rollout.Order, bool) {
	o, ok := c.docs.Rollouts[service]
	return o, ok
}

// Documents returns the documents. Callers must not change the maps.
func (c *Catalog) Documents() Documents { return c.docs }

// Owner returns the name of the workspace that the key belongs to.
func (c *Catalog) Owner(text string) (string, error) {
	name, ok := c.owners[key.Hash(text)]
	if !ok {
		return "", errors.Trace(ErrUnknownWorkspace)
	}
	return name, nil
}

// Operator returns the operator that the key belongs to. It looks at all
// operators, so that the time does not tell which one it is.
func (c *Catalog) Operator(text string) (operator.Operator, error) {
	var (
		owner operator.Operator
		known bool
		hash  = key.Hash(text)
	)
	for _, o := range c.docs.Operators {
		if key.IsOneOf(o.KeyHashes, hash) && !o.Closed {
			owner, known = o, true
		}
	}
	if !known {
		return operator.Operator{}, errors.Trace(ErrUnknownOperator)
	}
	return owner, nil
}

// Policy returns what the workspace's traffic is allowed to do.
func (c *Catalog) Policy(name string) (template.Policy, error) {
	w, ok := c.docs.Workspaces[name]
	if !ok {
		return template.Policy{}, errors.Trace(ErrUnknownWorkspace)
	}
	if w.Closed {
		return template.Policy{}, errors.Trace(ErrClosedWorkspace)
	}
	p, ok := c.policies[name]
	if !ok {
		return template.Policy{}, errors.Trace(ErrNotAllowed)
	}
	return p, nil
}

// Permit returns nil when the workspace may send new work to the version.
func (c *Catalog) Permit(name string, ref version.Ref) error {
	p, err := c.Policy(name)
	if err != nil {
		return err
	}
	v, ok := c.docs.Versions[ref.String()]
	if !ok {
		return errors.Trace(ErrUnknownVersion)
	}
	if !p.Allows(ref) {
		return errors.Trace(ErrNotAllowed)
	}
	if !v.AcceptsWork() {
		return errors.Trace(ErrNotServing)
	}
	return nil
}

// PermitService returns the service when the workspace may call it.
func (c *Catalog) PermitService(name, svc string) (service.Service, error) {
	p, err := c.Policy(name)
	if err != nil {
		return service.Service{}, err
	}
	s, ok := c.docs.Services[svc]
	if !ok {
		return service.Service{}, errors.Trace(ErrUnknownService)
	}
	if !p.AllowsService(svc) {
		return service.Service{}, errors.Trace(ErrNotAllowed)
	}
	return s, nil
}

// Permitted returns the versions that the workspace may send new work to,
// ordered by reference.
func (c *Catalog) Permitted(name string) []version.Version {
	p, err := c.Policy(name)
	if err != nil {
		return nil
	}
	var permitted []version.Version
	for _, key := range slices.Sorted(maps.Keys(c.docs.Versions)) {
		v := c.docs.Versions[key]
		if v.AcceptsWork() && p.Allows(v.Ref) {
			permitted = append(permitted, v)
		}
	}
	return permitted
}

// Clone returns documents whose maps can be changed on their own.
func (d Documents) Clone() Documents {
	d.Templates = cloneMap(d.Templates)
	d.Workspaces = cloneMap(d.Workspaces)
	d.Versions = cloneMap(d.Versions)
	d.Services = cloneMap(d.Services)
	d.Operators = cloneMap(d.Operators)
	d.SealKeys = slices.Clone(d.SealKeys)
	d.Rollouts = cloneMap(d.Rollouts)
	return d
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
