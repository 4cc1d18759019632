package logevent

import "github.com/apex/log"

// Log events 1700 to 1799, of the component edge.
const (
	EdgeStarted          ID = 1700
	EdgeStopStarted      ID = 1701
	EdgeStopped          ID = 1702
	EdgeSettingsRead     ID = 1703
	EdgeSettingsInvalid  ID = 1704
	EdgeReady            ID = 1705
	EdgeNotReady         ID = 1706
	EdgeStartFailed      ID = 1707
	EdgeAddressInUse     ID = 1708
	EdgeAnswered         ID = 1710
	EdgePartial          ID = 1711
	EdgeRefused          ID = 1712
	EdgeAbandoned        ID = 1713
	EdgeLinesLeftOut     ID = 1714
	EdgeConfigApplied    ID = 1720
	EdgeConfigIgnored    ID = 1721
	EdgeObjectInvalid    ID = 1722
	EdgeConfigHeard      ID = 1723
	EdgeViewUnproven     ID = 1724
	EdgeServerAdded      ID = 1730
	EdgeServerRemoved    ID = 1731
	EdgeServerDraining   ID = 1732
	EdgeServerCold       ID = 1733
	EdgeServerSuspected  ID = 1734
	EdgeDomainEvacuated  ID = 1735
	EdgeDomainReturned   ID = 1736
	EdgeDaemonSeen       ID = 1740
	EdgeDaemonSilent     ID = 1741
	EdgePeerFailed       ID = 1742
	EdgeStoreLost        ID = 1743
	EdgeStoreRegained    ID = 1744
	EdgeRegistrationDone ID = 1745
	EdgeStoreCopied      ID = 1746
	EdgeEvacuationHeld   ID = 1747
	EdgeExplained        ID = 1748
	EdgeWatchersChanged  ID = 1749
	EdgePanic            ID = 1750
	EdgeListenerError    ID = 1751
	EdgeClientRefused    ID = 1752
	EdgeAnswerInvalid    ID = 1753
	EdgeTenantsChanged   ID = 1760
	EdgeKeysRevoked      ID = 1761
	EdgeQuotaExceeded    ID = 1762
	EdgeQuotaHolding     ID = 1763

	EdgeRolloutStarted     ID = 1770
	EdgeRolloutWithdrawn   ID = 1771
	EdgeRolloutActing      ID = 1772
	EdgeRolloutVerdict     ID = 1773
	EdgeRolloutWriteFailed ID = 1774

	EdgeReportsIgnored ID = 1780
	EdgeReportsTrusted ID = 1781
	EdgeCapacityStart  ID = 1782

	EdgeAdmissionLimited ID = 1790
	EdgeAdmissionEnded   ID = 1791
)

var edgeEvents = []Def{
	{EdgeStarted, "edge_started", log.InfoLevel, "An edge daemon started; version is that of the build."},
	{EdgeStopStarted, "edge_stop_started", log.InfoLevel, "The graceful shutdown started; open is the number of requests without an answer."},
	{EdgeStopped, "edge_stopped", log.InfoLevel, "The daemon ends; open requests were cut off if there are any."},
	{EdgeSettingsRead, "edge_settings_read", log.InfoLevel, "The settings file was read again. Retry budget, contact loss, the bound on changes and seeds take effect at once, other changes at the next start."},
	{EdgeSettingsInvalid, "edge_settings_invalid", log.ErrorLevel, "The settings file has changed and cannot be used; the daemon keeps its current settings."},
	{EdgeReady, "edge_ready", log.InfoLevel, "The daemon has a configuration and a list of leafs and takes requests, age_ms after its start."},
	{EdgeNotReady, "edge_not_ready", log.WarnLevel, "The daemon has run for age_ms and takes no requests yet; detail says what it lacks and why. Written when that changes, at most every five seconds."},
	{EdgeStartFailed, "edge_start_failed", log.ErrorLevel, "The daemon cannot start and ends; error says what it lacks."},
	{EdgeAddressInUse, "edge_address_in_use", log.WarnLevel, "Another process holds an address of the daemon, which tries again for as long as an earlier daemon may take to stop."},
	{EdgeAnswered, "edge_answered", log.InfoLevel, "A request was answered; calls, hedges and retries count its attempts at leafs. A late one, like all requests in lines 1711 to 1713, names in waited_for what it waited for longest, and what was known when the attempt was sent on which it waited."},
	{EdgePartial, "edge_partial", log.InfoLevel, "A query over shards was answered without some of them; why lists service, reason and leaf of each."},
	{EdgeRefused, "edge_refused", log.WarnLevel, "A request was not answered by a leaf, or the leaf's answer was a failure; outcome is the reason. config is the version that decided, config_age_ms how long ago this daemon applied it, config_from the store or the daemon that it came from, config_by the call that brought it; proof_age_ms is for how long this daemon has not known that the store has no later version."},
	{EdgeAbandoned, "edge_abandoned", log.InfoLevel, "The caller closed its connection; open attempts were cancelled."},
	{EdgeLinesLeftOut, "edge_lines_left_out", log.InfoLevel, "Log lines of requests that were answered completely and in time, or that were refused for lack of a key or because of a quota, were left out in a second because of the limit on lines; count says how many of the route."},
	{EdgeConfigApplied, "edge_config_applied", log.InfoLevel, "A version of the configuration, in number, is in force; detail is the call that brought it, subject the daemon that was called if it was not the store, age_ms how long ago another daemon first told of it."},
	{EdgeConfigIgnored, "edge_config_ignored", log.WarnLevel, "A version older than the one in force was read and not applied; detail and subject say where as in 1720."},
	{EdgeViewUnproven, "edge_view_unproven", log.WarnLevel, "For age_ms the daemon has not known that its view is that of the store: it has not read the store, and no daemon whose view it has told that it did. It reads the store itself."},
	{EdgeConfigHeard, "edge_config_heard", log.InfoLevel, "The daemon in subject was the first to tell of a version of the configuration, in number, age_ms before; it is fetched."},
	{EdgeObjectInvalid, "edge_object_invalid", log.WarnLevel, "An object of the store cannot be used and is ignored."},
	{EdgeServerAdded, "edge_server_added", log.InfoLevel, "A leaf appeared in the store."},
	{EdgeServerRemoved, "edge_server_removed", log.InfoLevel, "A leaf gets no new work: its entry was removed, lapsed, or it started again."},
	{EdgeServerDraining, "edge_server_draining", log.InfoLevel, "A leaf reports that it drains and gets no new work."},
	{EdgeServerCold, "edge_server_cold", log.InfoLevel, "A leaf is taken to be cold for age_ms."},
	{EdgeServerSuspected, "edge_server_suspected", log.WarnLevel, "A leaf refused a connection or another leaf has its address."},
	{EdgeDomainEvacuated, "edge_domain_evacuated", log.InfoLevel, "A failure domain is evacuated; its leafs get no new work."},
	{EdgeDomainReturned, "edge_domain_returned", log.InfoLevel, "The evacuation of a failure domain ended; its leafs are taken to be cold."},
	{EdgeDaemonSeen, "edge_daemon_seen", log.InfoLevel, "Another daemon appeared or was heard again."},
	{EdgeDaemonSilent, "edge_daemon_silent", log.WarnLevel, "Another daemon was not heard for age_ms and is not named to callers."},
	{EdgePeerFailed, "edge_peer_failed", log.WarnLevel, "A message to or from another daemon failed."},
	{EdgeStoreLost, "edge_store_lost", log.WarnLevel, "Calls to the store fail, first with the error in detail, age_ms after the last answer; the last view stays in use."},
	{EdgeStoreRegained, "edge_store_regained", log.InfoLevel, "Calls to the store work again after age_ms."},
	{EdgeRegistrationDone, "edge_registration_done", log.InfoLevel, "The daemon's entry was written to the store."},
	{EdgeStoreCopied, "edge_store_copied", log.WarnLevel, "The store names a new era: it came back from a copy and may lack its last writes. All kinds are listed again; what was in force stays in force."},
	{EdgeEvacuationHeld, "edge_evacuation_held", log.WarnLevel, "The store no longer shows an evacuation since it came back from a copy. It stays in force until the operator's next word, two minutes at most."},
	{EdgeExplained, "edge_explained", log.InfoLevel, "An operator asked how a request would be handled; no request was sent. No decisions were made for elapsed_us, while the state was copied."},
	{EdgeWatchersChanged, "edge_watchers_changed", log.InfoLevel, "The daemons in detail are those that this one takes for the watchers of the store; number is 1 if it is one of them."},
	{EdgePanic, "edge_panic", log.ErrorLevel, "The handling of one event, message or answer panicked; where names it, error has the stack. The daemon continues."},
	{EdgeTenantsChanged, "edge_tenants_changed", log.InfoLevel, "The tenants of a new configuration are in force; number counts them, detail the keys that were added, removed, or given to another tenant."},
	{EdgeKeysRevoked, "edge_keys_revoked", log.WarnLevel, "Keys were removed while requests with them waited; number counts the requests, which are refused or get no further attempt."},
	{EdgeQuotaExceeded, "edge_quota_exceeded", log.InfoLevel, "A request of the tenant in subject was refused because of its quota, the first in ten seconds; number is how many requests this daemon may serve in a window."},
	{EdgeQuotaHolding, "edge_quota_holding", log.InfoLevel, "The daemons that hold shares of quotas have changed; number counts them, detail says whether this daemon is one."},
	{EdgeClientRefused, "edge_client_refused", log.WarnLevel, "A request outside the limits was refused, or its connection closed; client is the address. At most a few lines a second are written; left_out says how many were not since the line before, and the metric clients_refused_total counts all."},
	{EdgeAnswerInvalid, "edge_answer_invalid", log.WarnLevel, "A leaf sent bytes that are no answer in HTTP/1; the attempt counts as lost. error quotes the first of them. At most a few lines a second are written; left_out says how many were not since the line before, and the metric invalid_answers_total counts all."},
	{EdgeListenerError, "edge_listener_error", log.WarnLevel, "A listener, or the probe of the read lag, failed at one connection; the daemon continues."},
	{EdgeRolloutStarted, "edge_rollout_started", log.InfoLevel, "An order asks for the traffic of the service in subject to be moved to the version in detail within age_ms."},
	{EdgeRolloutWithdrawn, "edge_rollout_withdrawn", log.InfoLevel, "The order for the version in detail is gone or replaced. Without a verdict its leafs are used only if no others are left."},
	{EdgeRolloutActing, "edge_rollout_acting", log.WarnLevel, "The daemon acts on a verdict that the store does not have yet: on rolled_back it sends nothing to the version, on completed it sends all requests there."},
	{EdgeRolloutVerdict, "edge_rollout_verdict", log.InfoLevel, "The store has the verdict on the version of the service in subject."},
	{EdgeRolloutWriteFailed, "edge_rollout_write_failed", log.WarnLevel, "A verdict could not be written, or the write may have taken effect; the order is read and the write repeated."},
	{EdgeReportsIgnored, "edge_reports_ignored", log.WarnLevel, "What a leaf reports about the speed of its VM does not show in its latency; its reports are ignored."},
	{EdgeReportsTrusted, "edge_reports_trusted", log.InfoLevel, "What a leaf reports about the speed of its VM shows in its latency again and is used."},
	{EdgeCapacityStart, "edge_capacity_start", log.InfoLevel, "The daemon starts from what another one, subject, has learned about number leafs."},
	{EdgeAdmissionLimited, "edge_admission_limited", log.WarnLevel, "The leafs of the service in subject, and those asked with it, are overloaded; requests are admitted by priority and fair shares of tenants."},
	{EdgeAdmissionEnded, "edge_admission_ended", log.InfoLevel, "The leafs of the service in subject bear all requests again; none is refused because of overload."},
}
