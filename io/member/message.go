package member

import (
	"rosereach/core/audit"
	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/ledger"
	"rosereach/core/replica"
	"rosereach/core/state"
)

// The kinds of message between rosereach's processes.
const (
	KindLease            Kind = "lease"
	KindRelease          Kind = "release"
	KindDocuments        Kind = "documents"
	KindPropose          Kind = "propose"
	KindDocumentsChanged Kind = "changed"
	KindReplica          Kind = "replica"
	KindJoin             Kind = "join"
	KindAdopt            Kind = "adopt"
	KindInForce          Kind = "in_force"
	KindRemove           Kind = "remove"
	KindLeave            Kind = "leave"
	KindEntries          Kind = "entries"
	KindServers          Kind = "servers"
	KindLookup           Kind = "look"
)

// The codes of a Problem.
const (
	CodeNotLeader Code = "not_leader"
	CodeRefused   Code = "refused"
	CodeInternal  Code = "internal"
	CodeNoGroup   Code = "no_group"
)

type (
	// Kind is the type of a message.
	Kind string

	// Code is the machine-readable cause of a problem.
	Code string

	// Problem is an error that a peer returned. CodeNotLeader means that the
	// peer did nothing and the call should be sent to the leader.
	Problem struct {
		Code   Code   `json:"code"`
		Detail string `json:"detail"`
		// Leader is the ID of the leader as far as the peer knows. It is empty
		// if there is none.
		Leader string `json:"leader,omitempty"`
		// Address is the leader's host:port, or empty.
		Address string `json:"address,omitempty"`
	}

	// ReplicaMessages are messages between replicas, in order. They are sent as
	// a notice.
	ReplicaMessages struct {
		Messages []replica.Message `json:"messages"`
	}

	// JoinRequest asks to become a replica of the peer's group. A control that
	// has no group answers CodeNoGroup.
	JoinRequest struct {
		Member replica.Member `json:"member"`
		// Features are the features of changes that the replica can apply.
		Features []change.Feature `json:"features,omitempty"`
	}

	// JoinReply is the group that added the replica as a learner.
	JoinReply struct {
		Group string `json:"group"`
	}

	// AdoptRequest asks a control without a group to join one.
	AdoptRequest struct {
		Group string `json:"group"`
	}

	// AdoptReply is the identity of the adopted control.
	AdoptReply struct {
		Identity replica.Identity `json:"identity"`
	}

	// InForceRequest asks the leader to reply once the revision is in force.
	InForceRequest struct {
		Revision uint64 `json:"revision"`
	}

	// RemoveRequest removes the replica with the ID from the group.
	RemoveRequest struct {
		ID string `json:"id"`
	}

	// LeaveRequest announces the planned stop of a replica to the leader.
	LeaveRequest struct {
		Identity replica.Identity `json:"identity"`
	}

	// LeaveReply tells the replica to announce its stop again, until a spare votes in
	// its place, or that it may stop. Voter is set if it keeps its vote.
	LeaveReply struct {
		Wait  bool `json:"wait,omitempty"`
		Voter bool `json:"voter,omitempty"`
	}

	// DocumentsRequest asks for the documents if they are newer than
	// KnownRevision.
	DocumentsRequest struct {
		KnownRevision uint64 `json:"have"`
		// AllowFollower allows a control that is not the leader to reply with the newest
		// documents that it knows to be committed.
		AllowFollower bool `json:"any,omitempty"`
	}

	// DocumentsReply holds the documents, or nil if there are no newer ones.
	DocumentsReply struct {
		Documents *catalog.Documents `json:"documents,omitempty"`
	}

	// ProposeRequest asks the leader to commit commands, in order.
	ProposeRequest struct {
		Commands []state.Command `json:"commands"`
	}

	// ProposeReply holds the results, in the order of the commands.
	ProposeReply struct {
		Results []state.Result `json:"results"`
	}

	// DocumentsChanged notifies entries of the revision of newer documents.
	DocumentsChanged struct {
		Revision uint64 `json:"revision"`
	}

	// ReleaseNotice notifies the leader that an entry has stopped dispatching.
	ReleaseNotice struct {
		Entry       string `json:"entry"`
		Incarnation uint64 `json:"incarnation"`
	}

	// BillsReply is a page of bills.
	BillsReply struct {
		Bills []ledger.Bill `json:"bills"`
	}

	// TrailReply is a page of the audit trail.
	TrailReply struct {
		Events []audit.Event `json:"events"`
	}
)

// Error returns the code and the detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
