package fleet

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// ErrProfile is wrapped by errors for invalid profiles. errors.As finds the
// *yamldoc.Error that lists the faults with their lines.
var ErrProfile = errors.New("fleet: invalid profile")

// Profile describes a deployment, its load and the faults that are played.
type Profile struct {
	// Length is how long requests arrive.
	Length time.Duration
	// Interval is the length of the intervals of the result.
	Interval time.Duration
	Daemons  DaemonProfile
	Services []ServiceProfile
	Routes   []RouteProfile
	Callers  CallerProfile
	Faults   []Fault
	// Tenants send the requests; without any, daemons ask for no keys.
	Tenants []TenantProfile
	// TenantsFrom and TenantsTo bound the time in which requests are counted by tenant.
	TenantsFrom, TenantsTo time.Duration
}

// DaemonProfile describes the daemons, which are spread evenly over the failure domains.
type DaemonProfile struct {
	Count, Domains int
	// Cores is the processor time that each daemon may use, in cores; CallTime is the
	// processor time of one attempt at a leaf.
	Cores    float64
	CallTime time.Duration
	// StartTime is the time from the start of a process to its first step.
	StartTime              time.Duration
	RetryRatio, RetrySlack float64
}

// ServiceProfile describes Shards services of Leafs leafs each.
type ServiceProfile struct {
	Name          string
	Shards, Leafs int
	Slots, Queue  int
	// Connections is the number that a leaf accepts; ConnectTime is the time of a slot
	// that a new connection takes.
	Connections          int
	ConnectTime          time.Duration
	Pause, PauseInterval time.Duration
	// Later services get the index when it is cut anew.
	Later    bool
	Slowdown SlowdownProfile
	// KneeShare of the leafs slow down before they are full: each request beyond Knee makes
	// the work that starts then take kneeSlowdown longer.
	Knee      int
	KneeShare float64
}

// RouteProfile describes the requests of one route. A route asks all shards of its
// service if it has several.
type RouteProfile struct {
	Name, Service, Later    string
	PerSecond               float64
	Work                    time.Duration
	Spread                  float64
	Target, Timeout         time.Duration
	MinShardRatio           float64
	Priority, MaxAttempts   int
	Worth, LateWorth        float64
	shards, laterShardNames []string
}

// CallerProfile describes the callers.
type CallerProfile struct {
	// Distance is the time of a message between a caller and a daemon.
	Distance time.Duration
	// LookUpShare of the requests look the addresses up first.
	LookUpShare float64
	// Repeats is the number of times that a caller repeats a request.
	Repeats int
}

// Fault kinds.
const (
	FaultBurst       = "burst"        // Times as many requests
	FaultSlow        = "slow"         // Share of the leafs take Times as long
	FaultDark        = "dark"         // Share of the leafs answer nothing
	FaultFail        = "fail"         // Share of the leafs fail Ratio of the requests
	FaultLose        = "lose"         // Share of the leafs lose Ratio of the answers
	FaultRepartition = "repartition"  // routes change to their later service
	FaultRestart     = "restart"      // all daemons end, and start after For
	FaultStoreOutage = "store_outage" // the store does not answer
	FaultGiveUp      = "give_up"      // Share of the callers leave early
	FaultSurge       = "surge"        // Tenant sends Times as much
)

// Fault is one disturbance, from At for For.
type Fault struct {
	Kind         string
	At, For      time.Duration
	Share, Ratio float64
	Times        float64
	Tenant       string
}

// Limits of a profile.
const (
	maxProfileBytes = 1 << 20
	maxLength       = 10 * time.Minute
	maxDaemons      = 200
	maxShards       = 2000
	maxLeafs        = 16
	maxRate         = 1e5
	maxFactor       = 100.0
)

// LoadProfile reads and checks a profile.
func LoadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return ParseProfile(path, data)
}

// ParseProfile parses and checks a profile. The name identifies the source in error
// messages.
func ParseProfile(name string, data []byte) (*Profile, error) {
	doc, root := yamldoc.Parse(name, data, maxProfileBytes)
	p := readProfile(root)
	if err := doc.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrProfile, err)
	}
	return p, nil
}

func readProfile(root yamldoc.Node) *Profile {
	m := root.Map("length", "interval", "daemons", "services", "routes", "callers", "faults", "tenants", "tenants_from", "tenants_to")
	d := m.Need("daemons").Map("count", "domains", "cores", "call_time", "start_time", "retry_ratio", "retry_slack")
	c := m.Get("callers").Map("distance", "look_up_share", "repeats")
	p := &Profile{
		Length:   m.Need("length").Duration(0, time.Second, maxLength),
		Interval: m.Get("interval").Duration(2*time.Second, 100*time.Millisecond, maxLength),
		Daemons: DaemonProfile{
			Count: int(d.Need("count").Int(1, 1, maxDaemons)), Domains: int(d.Get("domains").Int(1, 1, maxDaemons)),
			Cores: d.Get("cores").Float(1, 0.01, maxFactor), CallTime: d.Get("call_time").Duration(0, 0, time.Second),
			StartTime:  d.Get("start_time").Duration(0, 0, time.Minute),
			RetryRatio: d.Get("retry_ratio").Float(0.2, 0, 1), RetrySlack: d.Get("retry_slack").Float(50, 0, maxRate),
		},
		Callers: CallerProfile{
			Distance: c.Get("distance").Duration(time.Millisecond, 0, time.Second), LookUpShare: c.Get("look_up_share").Float(0.2, 0, 1),
			Repeats: int(c.Get("repeats").Int(1, 0, 10)),
		},
	}
	names := map[string]ServiceProfile{}
	for _, n := range m.Need("services").NonEmptyList() {
		s := readService(n)
		if _, ok := names[s.Name]; ok {
			n.Fault(yamldoc.RuleDuplicateKey, "service %q is there twice", s.Name)
		}
		names[s.Name] = s
		p.Services = append(p.Services, s)
	}
	for _, n := range m.Need("routes").NonEmptyList() {
		p.Routes = append(p.Routes, readRoute(n, names))
	}
	p.Tenants = readTenants(m.Get("tenants").List())
	p.TenantsFrom = m.Get("tenants_from").Duration(0, 0, maxLength)
	p.TenantsTo = m.Get("tenants_to").Duration(maxLength, 0, maxLength)
	for _, n := range m.Get("faults").List() {
		p.Faults = append(p.Faults, readFault(n))
	}
	return p
}

func readService(n yamldoc.Node) ServiceProfile {
	m := n.Map("name", "shards", "leafs", "slots", "queue", "connections", "connect_time", "pause", "pause_interval", "later", "slowdown", "knee", "knee_share")
	return ServiceProfile{
		Name: m.Need("name").Name(), Shards: int(m.Get("shards").Int(1, 1, maxShards)), Leafs: int(m.Get("leafs").Int(1, 1, maxLeafs)),
		Slots: int(m.Get("slots").Int(1, 1, 1000)), Queue: int(m.Get("queue").Int(0, 0, 10000)),
		Connections: int(m.Get("connections").Int(100, 1, 1e6)), ConnectTime: m.Get("connect_time").Duration(0, 0, time.Second),
		Pause: m.Get("pause").Duration(0, 0, time.Minute), PauseInterval: m.Get("pause_interval").Duration(0, 0, time.Hour),
		Later:    m.Get("later").OneOf("no", "no", "yes") == "yes",
		Slowdown: readSlowdown(m.Get("slowdown")),
		Knee:     int(m.Get("knee").Int(0, 0, 1000)), KneeShare: m.Get("knee_share").Float(0, 0, 1),
	}
}

func readSlowdown(n yamldoc.Node) SlowdownProfile {
	m := n.Map("times", "for", "share", "reported", "false_share", "missing")
	return SlowdownProfile{
		Times: m.Get("times").Float(1, 1, maxFactor), For: m.Get("for").Duration(600*time.Millisecond, time.Millisecond, time.Minute),
		Share: m.Get("share").Float(0, 0, 0.9), Reported: m.Get("reported").OneOf("no", "no", "yes") == "yes",
		FalseShare: m.Get("false_share").Float(0, 0, 1), Missing: m.Get("missing").Float(0, 0, 1),
	}
}

func readRoute(n yamldoc.Node, services map[string]ServiceProfile) RouteProfile {
	m := n.Map("name", "service", "later", "per_second", "work", "spread", "target", "timeout", "min_shard_ratio", "priority", "max_attempts", "worth", "late_worth")
	r := RouteProfile{
		Name: m.Need("name").Name(), Service: m.Need("service").Name(), Later: m.Get("later").Name(),
		PerSecond: m.Need("per_second").Float(1, 0.001, maxRate), Work: m.Need("work").Duration(0, time.Microsecond, time.Minute),
		Spread: m.Get("spread").Float(0, 0, 3), Target: m.Need("target").Duration(0, time.Millisecond, time.Minute),
		Timeout: m.Need("timeout").Duration(0, time.Millisecond, time.Hour), MinShardRatio: m.Get("min_shard_ratio").Float(1, 0, 1),
		Priority: int(m.Get("priority").Int(0, 0, 100)), MaxAttempts: int(m.Get("max_attempts").Int(2, 1, 10)),
		Worth: m.Get("worth").Float(1, 0, maxFactor), LateWorth: m.Get("late_worth").Float(0, 0, 1),
	}
	for _, name := range []string{r.Service, r.Later} {
		if _, ok := services[name]; !ok && name != "" {
			n.Fault(yamldoc.RuleName, "service %q is not described", name)
		}
	}
	r.shards = shardNames(services[r.Service])
	r.laterShardNames = shardNames(services[r.Later])
	return r
}

func readFault(n yamldoc.Node) Fault {
	m := n.Map("kind", "at", "for", "share", "ratio", "times", "tenant")
	return Fault{
		Kind: m.Need("kind").OneOf(FaultBurst, FaultBurst, FaultSlow, FaultDark, FaultFail, FaultLose, FaultRepartition, FaultRestart, FaultStoreOutage, FaultGiveUp, FaultSurge),
		At:   m.Need("at").Duration(0, 0, maxLength), For: m.Get("for").Duration(time.Second, 0, maxLength),
		Share: m.Get("share").Float(0.2, 0, 1), Ratio: m.Get("ratio").Float(0.5, 0, 1), Times: m.Get("times").Float(1, 0, maxFactor), Tenant: m.Get("tenant").Name(),
	}
}

// shardNames returns the names of the shards of a service; the name itself if it has
// only one.
func shardNames(s ServiceProfile) []string {
	if s.Shards <= 1 {
		return []string{s.Name}
	}
	names := make([]string, s.Shards)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", s.Name, i)
	}
	return names
}
