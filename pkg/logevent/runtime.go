package logevent

import "github.com/apex/log"

// Log events 1400 to 1499, of the component runtime.
const (
	RuntimeQueueFull      ID = 1400
	RuntimeStreamOverflow ID = 1401
	RuntimeLateReply      ID = 1402
	RuntimeDuplicate      ID = 1403
	RuntimeExit           ID = 1404
)

var runtimeEvents = []Def{
	{RuntimeQueueFull, "runtime_queue_full", log.WarnLevel, "The event queue has no room for new requests of callers; they are refused as not run."},
	{RuntimeStreamOverflow, "runtime_stream_overflow", log.ErrorLevel, "An Execute stream got more results than it has sub-requests and was ended."},
	{RuntimeLateReply, "runtime_late_reply", log.DebugLevel, "A reply came for a request whose caller or peer is gone."},
	{RuntimeDuplicate, "runtime_duplicate", log.WarnLevel, "An Execute stream or an attempt has a number that is in use; it was not started again."},
	{RuntimeExit, "runtime_exit", log.InfoLevel, "The event loop ended."},
}
