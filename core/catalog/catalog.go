// Package catalog holds the configuration documents of one revision, applies
// changes to them and derives the permissions of each workspace.
package catalog

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/evacuation"
	"rosereach/core/key"
	"rosereach/core/operator"
	"rosereach/core/rollout"
	"rosereach/core/route"
	"rosereach/core/service"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/workspace"
)

// The reasons for denying a request.
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
	// Documents holds every document as of one revision, in the form that is stored
	// and sent to entries. The maps are keyed by name; a version's name is
	// MODEL@VERSION, and a roll-out is stored under the name of its service.
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
		// Evacuations are by availability zone. Those that were withdrawn are kept.
		Evacuations map[string]evacuation.Order `json:"evacuations,omitempty"`
		// Features are those that all members of the group know, by the revision at which
		// they were enabled.
		Features map[change.Feature]uint64 `json:"features,omitempty"`
	}

	// SealKey signs session tokens. New tokens are signed with the newest key;
	// those signed with any retained key are accepted.
	SealKey struct {
		ID     string `json:"id"`
		Secret []byte `json:"secret"`
	}

	// Catalog indexes the documents of one revision for lookups. It is immutable.
	Catalog struct {
		docs Documents
		// policies holds the policy of each workspace, by name.
		policies map[string]template.Policy
		// workspacesByKey maps a key's hash to the name of its workspace.
		workspacesByKey map[string]string
		routes          *route.Table
		evacuatedZones  []string // sorted
	}
)

// New returns the catalog of the documents. A workspace whose values do not
// match its template gets no policy, and therefore no permissions.
func New(docs Documents) *Catalog {
	c := &Catalog{
		docs:            docs,
		policies:        make(map[string]template.Policy, len(docs.Workspaces)),
		workspacesByKey: make(map[string]string),
	}
	for zone, o := range docs.Evacuations {
		if o.Active {
			c.evacuatedZones = append(c.evacuatedZones, zone)
		}
	}
	slices.Sort(c.evacuatedZones)
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
			c.workspacesByKey[hash] = name
		}
	}
	return c
}

// Revision returns the revision of the documents.
func (c *Catalog) Revision() uint64 { return c.docs.Revision }

// Routes returns the operator's routing plan, or nil when there is none.
func (c *Catalog) Routes() *route.Table { return c.routes }

// Rollout returns the newest roll-out of a service.
func (c *Catalog) Rollout(serviceName string) (rollout.Order, bool) {
	o, ok := c.docs.Rollouts[serviceName]
	return o, ok
}

// IsEvacuated reports whether the backend servers of an availability zone are to get no
// requests.
func (c *Catalog) IsEvacuated(zone string) bool { return c.docs.Evacuations[zone].Active }

// EvacuatedZones returns the availability zones whose servers are to get no requests,
// sorted. Callers must not change the list.
func (c *Catalog) EvacuatedZones() []string { return c.evacuatedZones }

// Documents returns the documents. Callers must not change the maps.
func (c *Catalog) Documents() Documents { return c.docs }

// WorkspaceByKey returns the name of the workspace that the caller's key belongs to, or
// ErrUnknownWorkspace.
func (c *Catalog) WorkspaceByKey(callerKey string) (string, error) {
	name, ok := c.workspacesByKey[key.Hash(callerKey)]
	if !ok {
		return "", errors.Trace(ErrUnknownWorkspace)
	}
	return name, nil
}

// OperatorByKey returns the operator that the key belongs to, or ErrUnknownOperator.
// It always compares the keys of all operators, so that the response time does
// not reveal a match.
func (c *Catalog) OperatorByKey(operatorKey string) (operator.Operator, error) {
	var (
		match operator.Operator
		found bool
		hash  = key.Hash(operatorKey)
	)
	for _, o := range c.docs.Operators {
		if key.Contains(o.KeyHashes, hash) && !o.Closed {
			match, found = o, true
		}
	}
	if !found {
		return operator.Operator{}, errors.Trace(ErrUnknownOperator)
	}
	return match, nil
}

// Policy returns the policy of the workspace, or an error if it has none.
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

// Permit returns nil when the workspace may send new requests to the version, or
// the reason why not.
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

// PermitService returns the service when the workspace may call it, or the reason
// why not.
func (c *Catalog) PermitService(name, serviceName string) (service.Service, error) {
	p, err := c.Policy(name)
	if err != nil {
		return service.Service{}, err
	}
	s, ok := c.docs.Services[serviceName]
	if !ok {
		return service.Service{}, errors.Trace(ErrUnknownService)
	}
	if !p.AllowsService(serviceName) {
		return service.Service{}, errors.Trace(ErrNotAllowed)
	}
	return s, nil
}

// PermittedVersions returns the versions that the workspace may send new requests to,
// sorted by reference.
func (c *Catalog) PermittedVersions(name string) []version.Version {
	p, err := c.Policy(name)
	if err != nil {
		return nil
	}
	var permitted []version.Version
	for _, ref := range slices.Sorted(maps.Keys(c.docs.Versions)) {
		v := c.docs.Versions[ref]
		if v.AcceptsWork() && p.Allows(v.Ref) {
			permitted = append(permitted, v)
		}
	}
	return permitted
}

// Clone returns a copy whose maps can be changed independently.
func (d Documents) Clone() Documents {
	d.Templates = cloneMap(d.Templates)
	d.Workspaces = cloneMap(d.Workspaces)
	d.Versions = cloneMap(d.Versions)
	d.Services = cloneMap(d.Services)
	d.Operators = cloneMap(d.Operators)
	d.SealKeys = slices.Clone(d.SealKeys)
	d.Rollouts = cloneMap(d.Rollouts)
	d.Evacuations = cloneMap(d.Evacuations)
	d.Features = cloneMap(d.Features)
	return d
}

// cloneMap returns a copy of m, which is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
