package logevent

import "github.com/apex/log"

// Log events 1200 to 1299, of the component membership.
const (
	LeaseGained ID = 1200 + iota
	LeaseLost
	IncarnationFenced
	MemberFenced
	EpochLearned
	EpochActive
	EpochClosed
	EpochProposed
	EpochWritten
	EpochWriteFailed
	OwnershipGained
	OwnershipLost
	HandoverSent
	HandoverReceived
	HandoverFailed
	PanelMemberGone
	PanelMemberRestarted
	LeaveStarted
	LeaveEnded
	ClockJumped
)

var membershipEvents = []Def{
	{LeaseGained, "lease_gained", log.InfoLevel, "A majority of the panel granted this daemon a lease."},
	{LeaseLost, "lease_lost", log.WarnLevel, "This daemon's lease ran out; it takes no new work until it is renewed."},
	{IncarnationFenced, "incarnation_fenced", log.WarnLevel, "A majority of the panel fenced this incarnation; the daemon continues as a new one that owns nothing."},
	{MemberFenced, "member_fenced", log.WarnLevel, "This panel member promised never to renew a member's lease in the epoch."},
	{EpochLearned, "epoch_learned", log.InfoLevel, "This daemon learned of a new epoch."},
	{EpochActive, "epoch_active", log.InfoLevel, "No lease of the previous epoch can still be valid."},
	{EpochClosed, "epoch_closed", log.InfoLevel, "This panel member grants no more leases and fences no more members in the epoch."},
	{EpochProposed, "epoch_proposed", log.InfoLevel, "This daemon is writing a new epoch."},
	{EpochWritten, "epoch_written", log.InfoLevel, "This daemon wrote a new epoch."},
	{EpochWriteFailed, "epoch_write_failed", log.WarnLevel, "A new epoch was not written, or the outcome is unknown; the object is read back."},
	{OwnershipGained, "ownership_gained", log.InfoLevel, "This daemon now owns the backend server."},
	{OwnershipLost, "ownership_lost", log.InfoLevel, "This daemon no longer owns the backend server."},
	{HandoverSent, "handover_sent", log.InfoLevel, "This daemon passes ownership of backend servers to another daemon."},
	{HandoverReceived, "handover_received", log.InfoLevel, "Another daemon passed ownership of backend servers to this daemon."},
	{HandoverFailed, "handover_failed", log.WarnLevel, "A handover was refused or got no answer; it is repeated while it is still useful."},
	{PanelMemberGone, "panel_member_gone", log.WarnLevel, "The VM list no longer shows a panel member's VM."},
	{PanelMemberRestarted, "panel_member_restarted", log.WarnLevel, "A panel member answered with another incarnation and has lost its promises."},
	{LeaveStarted, "leave_started", log.InfoLevel, "This daemon started to hand over its backend servers."},
	{LeaveEnded, "leave_ended", log.InfoLevel, "This daemon no longer owns backend servers and resigned its lease."},
	{ClockJumped, "clock_jumped", log.WarnLevel, "The wall clock moved further than the monotonic clock; the lease was ended, as the VM may have been suspended."},
}
