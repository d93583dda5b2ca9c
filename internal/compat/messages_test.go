package compat_test

import (
	"rosereach/core/catalog"
	"rosereach/core/registry"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/member"
)

// messages returns an empty value of each message between processes and of each record on
// a control's disk, by name.
func messages() map[string]any {
	return map[string]any{
		"watch_request": &member.WatchRequest{}, "watch_reply": &member.WatchReply{}, "presence": &member.Presence{},
		"trial_request": &member.TrialRequest{}, "trial_reply": &member.TrialReply{}, "trial_result": &member.TrialResult{},
		"routing_reply": &member.RoutingReply{}, "replica_messages": &member.ReplicaMessages{}, "join_request": &member.JoinRequest{},
		"join_reply": &member.JoinReply{}, "adopt_request": &member.AdoptRequest{}, "adopt_reply": &member.AdoptReply{},
		"in_force_request": &member.InForceRequest{}, "remove_request": &member.RemoveRequest{}, "documents_request": &member.DocumentsRequest{},
		"documents_reply": &member.DocumentsReply{}, "propose_request": &member.ProposeRequest{}, "propose_reply": &member.ProposeReply{},
		"documents_changed": &member.DocumentsChanged{}, "release_notice": &member.ReleaseNotice{}, "problem": &member.Problem{}, "peer": &member.Peer{},
		"servers_query": &registry.Query{}, "servers_reply": &registry.Reply{},
		"command": &state.Command{}, "documents": &catalog.Documents{}, "log_entry": &replica.Entry{}, "membership": &replica.Membership{},
	}
}
