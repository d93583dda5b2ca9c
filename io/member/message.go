package member

import (
	"rosereach/core/audit"
	"rosereach/core/catalog"
	"rosereach/core/ledger"
	"rosereach/core/state"
)

// The kinds of message between rosereach's own processes.
const (
	KindLease     Kind = "lease"
	KindRelease   Kind = "release"
	KindDocuments Kind = "documents"
	KindPropose   Kind = "propose"
	KindChanged   Kind = "changed"
	KindServers   Kind = "servers"
)

// The codes of a Problem.
const (
	CodeNotLeader Code = "not_leader"
	CodeRefused   Code = "refused"
	CodeInternal  Code = "internal"
)

type (
	// Kind names the type of a message's body.
	Kind string

	// Code is the stable cause of a problem.
	Code string

	// Problem is the error that a peer answered. Leader is the id of the
	// control that may know better, when Code is CodeNotLeader.
	Problem struct {
		Code   Code   `json:"code"`
		Detail string `json:"detail"`
		Leader string `json:"leader,omitempty"`
	}

	// DocumentsRequest asks for the documents when they are newer than Have.
	DocumentsRequest struct {
		Have uint64 `json:"have"`
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
