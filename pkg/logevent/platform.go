package logevent

import "github.com/apex/log"

// Log events 1600 to 1699, of the component platform.
const (
	PlatformUnavailable      ID = 1600
	PlatformAvailable        ID = 1601
	PlatformUnknownOutcome   ID = 1602
	PlatformDocumentRejected ID = 1603
	PlatformConflict         ID = 1604
)

var platformEvents = []Def{
	{PlatformUnavailable, "platform_unavailable", log.WarnLevel, "A watch on a platform object failed; it is retried with backoff."},
	{PlatformAvailable, "platform_available", log.InfoLevel, "A watch on a platform object works again."},
	{PlatformUnknownOutcome, "platform_unknown_outcome", log.WarnLevel, "The reply to a write was lost; the object is read back."},
	{PlatformDocumentRejected, "platform_document_rejected", log.ErrorLevel, "A document from the platform or a peer failed its checks and is not used."},
	{PlatformConflict, "platform_conflict", log.InfoLevel, "A conditional write found another version of the object."},
}
