package logevent

import "github.com/apex/log"

// Log events 1300 to 1399, of the component documents.
const (
	DocumentInForce ID = 1300 + iota
	DocumentIgnored
	DocumentFetchFailed
	DocumentConfirmed
	DocumentConfirmFailed
	DocumentsReady
)

var documentsEvents = []Def{
	{DocumentInForce, "document_in_force", log.InfoLevel, "A new version of a document is in effect."},
	{DocumentIgnored, "document_ignored", log.WarnLevel, "A copy of a document is older than the one in effect and was ignored."},
	{DocumentFetchFailed, "document_fetch_failed", log.WarnLevel, "A document could not be read or was rejected by its checks."},
	{DocumentConfirmed, "document_confirmed", log.InfoLevel, "The platform confirmed that the copy read from it is current."},
	{DocumentConfirmFailed, "document_confirm_failed", log.WarnLevel, "The platform did not confirm the copy read from it; it is read again."},
	{DocumentsReady, "documents_ready", log.InfoLevel, "At its start this daemon obtained the highest versions of the documents that it was offered."},
}
