package logevent

import "github.com/apex/log"

// Log events 1100 to 1199, of the component slots.
const (
	SlotsGained ID = 1100 + iota
	SlotsLost
	SlotsClosed
	SlotsReopened
	SlotsRampStarted
	SlotsRampRaised
	SlotsRampLowered
	SlotsRefused
	SlotsShed
	SlotsUnusable
	SlotsUsable
	SlotsPollFailed
	SlotsVersionGone
	SlotsDuplicateAttempt
	SlotsUnknownAnswer
)

var slotsEvents = []Def{
	{SlotsGained, "slots_gained", log.InfoLevel, "This daemon now owns the backend server; limit is how many sub-requests it runs there at once to begin with."},
	{SlotsLost, "slots_lost", log.InfoLevel, "This daemon no longer owns the backend server; queued work was refused, running work continues."},
	{SlotsClosed, "slots_closed", log.InfoLevel, "The backend server gets no new work because of a take-out or drain by an operator, or because it drains itself."},
	{SlotsReopened, "slots_reopened", log.InfoLevel, "The backend server gets work again."},
	{SlotsRampStarted, "slots_ramp_started", log.InfoLevel, "The backend server is taken to be cold; its limit restarts at cold.slots."},
	{SlotsRampRaised, "slots_ramp_raised", log.InfoLevel, "Successful answers raised the backend server's limit by one."},
	{SlotsRampLowered, "slots_ramp_lowered", log.WarnLevel, "The backend server shed a request; its limit was halved."},
	{SlotsRefused, "slots_refused", log.WarnLevel, "Sub-requests for the backend server were refused before they were sent; count is since the last such line."},
	{SlotsShed, "slots_shed", log.WarnLevel, "The backend server shed sub-requests; count is since the last such line."},
	{SlotsUnusable, "slots_unusable", log.WarnLevel, "The backend server failed several times in a row and is reported as unusable."},
	{SlotsUsable, "slots_usable", log.InfoLevel, "The backend server answers again and is reported as usable."},
	{SlotsPollFailed, "slots_poll_failed", log.WarnLevel, "The backend server's status could not be read."},
	{SlotsVersionGone, "slots_version_gone", log.InfoLevel, "The backend server no longer has an index version that it was reported to have."},
	{SlotsDuplicateAttempt, "slots_duplicate_attempt", log.WarnLevel, "An entry daemon sent an attempt that this daemon already has; it was not run again."},
	{SlotsUnknownAnswer, "slots_unknown_answer", log.WarnLevel, "A backend answer belongs to no running attempt and was dropped."},
}
