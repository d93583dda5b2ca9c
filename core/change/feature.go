package change

import "slices"

// Evacuations is the feature of changes of kind PutEvacuation.
const Evacuations Feature = "evacuations"

// MeasuredRollouts is the feature of roll-outs whose moves carry shares and whose orders
// remember the releases that were not completed.
const MeasuredRollouts Feature = "measured_rollouts"

// HalfElections is the feature of elections by half of the controls that vote, beside others
// whose disks are lost. Builds without it commit changes of the membership with fewer answers.
const HalfElections Feature = "half_elections"

// Feature names kinds of change that replicas of older builds can't apply. A group enables
// it once all its members know it: replicas that apply a change differently would hold
// different states, and older ones would refuse what newer ones accept.
type Feature string

// features maps each kind of change that came after the first release with recorded formats
// to its feature.
var features = map[Kind]Feature{PutEvacuation: Evacuations}

// Features returns all features that this build knows.
func Features() []Feature { return []Feature{Evacuations, MeasuredRollouts, HalfElections} }

// Feature returns the feature that a kind of change belongs to, empty for one that every
// build knows.
func (k Kind) Feature() Feature { return features[k] }

// IsKnown reports whether this build can apply changes of the kind.
func (k Kind) IsKnown() bool {
	_, writes := documentKinds[k]
	return writes || k == RotateSeal || k == EnableFeature
}

// Missing returns the features of the list that a member doesn't know.
func Missing(wanted, known []Feature) []Feature {
	return slices.DeleteFunc(slices.Clone(wanted), func(f Feature) bool { return slices.Contains(known, f) })
}
