package member

import (
	"rosereach/core/audit"
	"rosereach/core/catalog"
	"rosereach/core/ledger"
	"rosereach/core/replica"
	"rosereach/core/state"
)

// The kinds of message between rosereach's own processes.
const (
	KindLease     Kind = "lease"
	KindRelease   Kind = "release"
	KindDocuments Kind = "documents"
	KindPropose   Kind = "propose"
	KindChanged   Kind = "changed"
	KindReplica   Kind = "replica"
	KindJoin      Kind = "join"
	KindAdopt     Kind = "adopt"
	KindInForce   Kind = "in_force"
	KindRemove    Kind = "remove"
	KindEntries   Kind = "entries"
	KindServers   Kind = "servers"
	KindLook      Kind = "look"
)

// The codes of a Problem.
const (
	CodeNotLeader Code = "not_leader"
	CodeRefused   Code = "refused"
	CodeInternal  Code = "internal"
	CodeNoGroup   Code = "no_group"
)

type (
	// Kind names the type of a message's body.
	Kind string

	// Code is the stable cause of a problem.
	Code string

	// Problem is the error that a peer answered. When Code is CodeNotLeader,
	// nothing was done; Leader is the id of the control that may know better and
	// Address, host:port, where it is reached. Both are empty while there is none.
	Problem struct {
		Code    Code   `json:"code"`
		Detail  string `json:"detail"`
		Leader  string `json:"leader,omitempty"`
		Address string `json:"address,omitempty"`
	}

	// ReplicaMessages are messages between replicas, in order. There is no answer.
	ReplicaMessages struct {
		Messages []replica.Message `json:"messages"`
	}

	// JoinRequest asks to become a replica of the peer's group. A control that
	// has no group answers CodeNoGroup.
	JoinRequest struct {
		Member replica.Member `json:"member"`
	}

	// JoinReply names the group that has taken the replica as a learner.
	JoinReply struct {
		Group string `json:"group"`
	}

	// AdoptRequest tells a control without a group to join one.
	AdoptRequest struct {
		Group string `json:"group"`
	}

	// AdoptReply says who the adopted control is.
	AdoptReply struct {
		Identity replica.Identity `json:"identity"`
	}

	// InForceRequest waits at the leader until a revision is in force.
	InForceRequest struct {
		Revision uint64 `json:"revision"`
	}

	// RemoveRequest takes the replica with the id out of the group.
	RemoveRequest struct {
		ID string `json:"id"`
	}

	// DocumentsRequest asks for the documents when they are newer than Have.
	// Only the leader answers, unless Any is set: then the newest that this
	// control knows to be committed will do.
	DocumentsRequest struct {
		Have uint64 `json:"have"`
		Any  bool   `json:"any,omitempty"`
	}

	// DocumentsReply holds the documents, or nil when Have is the newest.
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

	// Changed tells entries that there are newer documents.
	Changed struct {
		Revision uint64 `json:"revision"`
	}

	// Released tells the leader that an entry has stopped dispatching.
	Released struct {
		Entry       string `json:"entry"`
		Incarnation uint64 `json:"incarnation"`
	}

	// BillsReply is a page of the bills' export.
	BillsReply struct {
		Bills []ledger.Bill `json:"bills"`
	}

	// TrailReply is a page of the audit trail.
	TrailReply struct {
		Events []audit.Event `json:"events"`
	}
)

// Error gives code and detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
