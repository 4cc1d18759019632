package logevent

import "github.com/apex/log"

// Log events 1000 to 1099, of the component query.
const (
	QueryAdmitted      ID = 1000
	QueryRefused       ID = 1001
	QuerySnapshot      ID = 1002
	QueryRouted        ID = 1003
	QueryHedged        ID = 1004
	QueryRetried       ID = 1005
	QueryMoved         ID = 1006
	QueryResultDropped ID = 1007
	QueryAnswered      ID = 1008
	QueryPartial       ID = 1009
	QueryAbandoned     ID = 1010
	QueryRepeated      ID = 1011
	QueryForwarded     ID = 1012
	LookupAnswered     ID = 1013
	LookupRefused      ID = 1014
)

var queryEvents = []Def{
	{QueryAdmitted, "query_admitted", log.DebugLevel, "A query was admitted."},
	{QueryRefused, "query_refused", log.InfoLevel, "A query was refused; kind says whether it can have run."},
	{QuerySnapshot, "query_snapshot", log.InfoLevel, "A query was pinned to a snapshot; asked is the number of shards that it asks, served is how many of them have the snapshot."},
	{QueryRouted, "query_routed", log.InfoLevel, "First attempts were sent; owners lists each owner's VM and its number of shards."},
	{QueryHedged, "query_hedged", log.InfoLevel, "A slow sub-request was sent to a second replica."},
	{QueryRetried, "query_retried", log.InfoLevel, "A sub-request was sent again after the outcome in after."},
	{QueryMoved, "query_moved", log.InfoLevel, "A query left a snapshot for a newer one; its sub-results were discarded."},
	{QueryResultDropped, "query_result_dropped", log.InfoLevel, "A sub-result was late, mismatched, duplicate or truncated and was dropped."},
	{QueryAnswered, "query_answered", log.DebugLevel, "A query was answered completely."},
	{QueryPartial, "query_partial", log.InfoLevel, "A query was answered without some of the asked shards."},
	{QueryAbandoned, "query_abandoned", log.InfoLevel, "The caller's connection was lost; a non-idempotent query continues."},
	{QueryRepeated, "query_repeated", log.InfoLevel, "The id of a non-idempotent query was seen before; running is 1 if it still runs."},
	{QueryForwarded, "query_forwarded", log.InfoLevel, "A non-idempotent query was passed to the daemon that its id names."},
	{LookupAnswered, "lookup_answered", log.DebugLevel, "A lookup was answered; first is the preferred VM."},
	{LookupRefused, "lookup_refused", log.InfoLevel, "A lookup could not be answered."},
}
