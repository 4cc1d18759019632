package capacity

import "math"

const (
	heartbeatsPerSecond = 2 * panelLimit // to all panel members
	exchangesPerSecond  = 4.0            // sent by a member, and as many received
	fullShare           = 1.0 / 20       // of exchanges
	targetShare         = 0.99           // of queries within the latency target
)

// LatePerCall returns the share of leaf calls that may be late when a query
// that asks the given number of shards must be in time with probability p.
func LatePerCall(p float64, shards int) float64 { return 1 - math.Pow(p, 1/float64(shards)) }

// LateWithHedge returns the share of first and second attempts that may be late
// when both have to be late for the call to be late.
func LateWithHedge(p float64, shards int) float64 { return math.Sqrt(LatePerCall(p, shards)) }

// LeafCalls returns the leaf calls per second of one daemon.
func LeafCalls() float64 { return DesignQueries * DesignShards / float64(DesignDaemons) }

// Executes returns the Execute messages per second that one daemon sends when
// every query goes to the owners of all its shards.
func Executes() float64 { return DesignQueries }

// WorstSpread returns the expected time in ms until the last of n daemons has
// heard of a change that the panel knows, one of them within each heartbeat
// interval at a random phase.
func WorstSpread(n int) float64 {
	return heartbeatInterval.Seconds() * kilo * float64(n) / float64(n+1)
}

// DocumentTraffic returns KB per second for a document of kb fetched on every
// change of a day by the given number of receivers.
func DocumentTraffic(kb, changes float64, receivers int) float64 {
	return kb * changes / day * float64(receivers)
}

// workOut adds the figures of the design scale to the report.
func (r *Report) workOut() {
	fits := make(map[string]Fit, len(r.Series))
	for _, s := range r.Series {
		fits[s.Name] = s.Fit
	}
	w := worker{report: r, fits: fits}
	w.queryPath()
	w.controlPlane()
	w.documents()
	w.latency()
}

// worker works out figures from fits.
type worker struct {
	report *Report
	fits   map[string]Fit
}

func (w *worker) add(name string, value float64, unit, basis string) {
	w.report.Figures = append(w.report.Figures, Figure{Name: name, Value: value, Unit: unit, Basis: basis})
}

// subsPerExecute is the shards of a query per owner.
const subsPerExecute = float64(DesignShards) / DesignDaemons

func (w *worker) queryPath() {
	calls, messages := LeafCalls(), Executes()
	w.add("leaf_calls_per_daemon", calls, "1/s", "98,000 × 1,900 / 560")
	w.add("execute_messages_per_daemon", messages, "1/s", "98,000 × 560 / 560, sent; as many received")
	w.add("subs_per_execute", subsPerExecute, "", "1,900 / 560")
	leaf := calls * w.fits["daemon_query"].Slope / mega
	w.add("cores_leaf_calls", leaf, "cores", "leaf calls × slope of daemon_query")
	out := messages * w.fits["execute_entry"].At(subsPerExecute) / mega
	in := messages * max(w.fits["execute_owner"].At(subsPerExecute), 0) / mega
	w.add("cores_execute_entry", out, "cores", "messages × execute_entry at 3.4")
	w.add("cores_execute_owner", in, "cores", "messages × execute_owner at 3.4")
	w.add("cores_query_path", leaf+out+in, "cores", "sum")
	batched := calls * (w.fits["execute_entry"].Slope + w.fits["execute_owner"].Slope) / mega
	w.add("cores_execute_batched", batched, "cores", "leaf calls × slopes of execute_entry and execute_owner, no cost per message")
	entry := calls * w.fits["entry_reducer"].Slope / mega
	owner := calls * w.fits["owner_reducer"].Slope / mega
	w.add("reducer_entry", entry, "cores of one goroutine", "leaf calls × slope of entry_reducer")
	w.add("reducer_owner", owner, "cores of one goroutine", "leaf calls × slope of owner_reducer, whose intercept is within its error of 0")
	w.add("reducer_total", entry+owner, "cores of one goroutine", "sum; at most 1 fits")
	w.add("execute_traffic", messages*w.fits["execute_bytes"].At(subsPerExecute)/kilo, "MB/s", "messages × execute_bytes at 3.4, sent as owner; as much received as entry daemon")
	leafRate := float64(DesignQueries) * DesignShards / DesignLeafs
	w.add("calls_per_leaf", leafRate, "1/s", "98,000 × 1,900 / 2,300")
	w.add("service_time_6_slots", leafSlots/leafRate*mega, "µs", "6 slots / calls per leaf: the longest mean service time that keeps up")
	w.add("connections_at_5ms", leafRate*0.005, "connections", "calls per leaf × 5 ms, one request at a time per HTTP/1.1 connection")
}

func (w *worker) controlPlane() {
	w.add("panel_cpu", w.fits["panel_cpu"].At(RegionMembers)/kilo*100, "% of a core", "panel_cpu at 187")
	w.add("panel_traffic", w.fits["panel_bytes"].At(RegionMembers), "KB/s", "panel_bytes at 187, both directions")
	w.add("panel_memory", w.fits["panel_memory"].At(RegionMembers), "MB", "panel_memory at 187")
	w.add("heartbeat_cpu", heartbeatsPerSecond*w.fits["heartbeat_sender_cpu"].Slope/kilo*100, "% of a core", "14 heartbeats/s × slope of heartbeat_sender_cpu")
	perBeat := w.fits["panel_bytes"].Slope * heartbeatInterval.Seconds()
	w.add("heartbeat_traffic", heartbeatsPerSecond*perBeat, "KB/s", "14 heartbeats/s × slope of panel_bytes, both directions")
	ordinary := w.fits["exchange_bytes_servers"].At(serversPerExchange)
	full := w.fits["full_exchange_bytes"].At(RegionLeafs)
	perMessage := (1-fullShare)*ordinary + fullShare*full
	w.add("exchange_message", ordinary, "KB", "exchange_bytes_servers at 32 and 25 member reports")
	w.add("full_exchange_message", full, "KB", "full_exchange_bytes at 767")
	w.add("exchange_traffic", 4*exchangesPerSecond*perMessage, "KB/s", "8 messages/s each way, responses like requests, one in 20 full, both directions")
	cpu := w.fits["exchange_sender_cpu"].At(serversPerExchange) + w.fits["exchange_receiver_cpu"].At(serversPerExchange)
	fullCPU := w.fits["full_exchange_cpu"].At(RegionLeafs)
	w.add("exchange_cpu", exchangesPerSecond*((1-fullShare)*cpu+fullShare*fullCPU)/mega*100, "% of a core", "4 sent and 4 received per second, one in 20 full")
	w.add("idle_cpu", w.fits["idle_reducer"].At(RegionLeafs)/kilo*100, "% of a core", "idle_reducer at 767")
	size := worldSize{RegionLeafs, RegionMembers}.thousands()
	w.add("state_heap", w.fits["state_heap"].At(size), "MB", "state_heap at 767 × 187")
	w.add("state_heap_all_leafs", w.fits["state_heap"].At(worldSize{DesignLeafs, RegionMembers}.thousands()), "MB", "state_heap at 2,300 × 187: the present code owns all leafs of the bundle in each region")
	w.add("state_heap_one_region", w.fits["state_heap"].At(worldSize{DesignLeafs, DesignDaemons}.thousands()), "MB", "state_heap at 2,300 × 560, extrapolated")
	w.add("epoch_change_cpu", w.fits["epoch_change"].At(size), "ms", "epoch_change at 767 × 187")
	w.add("platform_idle", DesignRegions*w.fits["platform_idle_panel"].At(panelLimit), "1/s", "3 regions × platform_idle_panel at 7")
	w.add("platform_outage", DesignRegions*w.fits["platform_outage_panel"].At(panelLimit), "1/s", "3 regions × platform_outage_panel at 7")
	w.add("platform_bound", DesignDaemons*callsPerSecond, "1/s", "560 daemons × budget of 3 calls/s")
	w.add("spread_model", WorstSpread(RegionMembers), "ms", "expected largest heartbeat phase of 187, after the panel knows")
}

func (w *worker) documents() {
	bundle := w.fits["bundle_bytes"].At(DesignLeafs)
	w.add("bundle", bundle, "KB", "bundle_bytes at 2,300")
	w.add("bundle_limit", (LimitDocument-w.fits["bundle_bytes"].Intercept)/w.fits["bundle_bytes"].Slope, "leafs", "bundle_bytes reaches 1 MB")
	w.add("bundle_traffic", DocumentTraffic(bundle, DesignChanges, 1), "KB/s", "2,200 bundles a day to one daemon")
	w.add("bundle_traffic_panel", DocumentTraffic(bundle, DesignChanges, (RegionMembers-panelLimit)/panelLimit+1), "KB/s", "2,200 bundles a day from a panel member to 26 daemons")
	w.add("bundle_cpu", DocumentTraffic(w.fits["bundle_decode"].At(DesignLeafs), DesignChanges, 1)/kilo*100, "% of a core", "2,200 decodes a day")
	w.add("bundle_decode", w.fits["bundle_decode"].At(DesignLeafs), "ms", "bundle_decode at 2,300")
	epoch := w.fits["epoch_bytes_leafs"].At(RegionLeafs)
	changes := float64(DesignFailed+2*DesignReplaced) / DesignRegions
	w.add("epoch", epoch, "KB", "epoch_bytes_leafs at 767")
	w.add("epoch_limit", (LimitDocument-w.fits["epoch_bytes_members"].Intercept)/w.fits["epoch_bytes_members"].Slope, "members", "epoch_bytes_members reaches 1 MB at 767 leafs")
	w.add("epoch_changes", changes, "1/day and region", "(13 + 2 × 220) / 3, each alone")
	w.add("epoch_traffic", DocumentTraffic(epoch, changes, 1), "KB/s", "epoch × changes to one member")
	w.add("epoch_traffic_region", epoch*changes*RegionMembers/kilo, "MB/day", "epoch × changes × 187 members")
}

func (w *worker) latency() {
	const replicated = DesignLeafs - DesignShards
	w.add("late_per_call", LatePerCall(targetShare, DesignShards), "of calls", "1 - 0.99^(1/1900)")
	w.add("late_single_replica", LatePerCall(targetShare, DesignShards-replicated), "of calls", "1 - 0.99^(1/1500): 400 shards never late")
	w.add("late_hedged", LateWithHedge(targetShare, DesignShards), "of calls", "square root: every shard with two replicas, the hedge in time")
	w.add("hedges_p95", 0.05*replicated/DesignShards*100, "% extra load", "hedging 400 of 1,900 shards at p95")
	w.add("hedge_percentile", (1-0.05*DesignShards/replicated)*100, "percentile", "the 5% budget spent on 400 shards only")
}
