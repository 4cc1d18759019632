package fleet

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// outcome is how a request ended for its caller.
type outcome uint8

const (
	inTime outcome = iota
	late
	// delayed requests were refused early and answered within the latency target from
	// the new try.
	delayed
	refused
	failed
	abandoned
)

// Counts are requests by how they ended for their callers. Abandoned requests are those
// whose caller gave up.
type Counts struct {
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Abandoned int `json:"abandoned"`
	// Shards is the sum of the shares of shards in the answers.
	Shards float64 `json:"shards"`
	// Credit is the worth of the answers, as their callers weigh them: that of late ones
	// is less, halfway if they were refused early before, and all are worth the square of
	// their share of shards. Owed is the worth if all were whole and in time.
	Credit float64 `json:"credit"`
	Owed   float64 `json:"owed"`
}

// Served returns the number of requests that were answered.
func (c Counts) Served() int { return c.InTime + c.Late }

// Asked returns the number of requests whose callers did not give up.
func (c Counts) Asked() int { return c.InTime + c.Late + c.Refused + c.Failed }

// ShardShare returns the mean share of shards in the answers.
func (c Counts) ShardShare() float64 { return c.Shards / math.Max(1, float64(c.Served())) }

// Worth returns the credit as a share of what is owed; 1 if nothing is owed.
func (c Counts) Worth() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Credit / c.Owed
}

// Row is what became of the requests of a route in an interval.
type Row struct {
	Start time.Duration `json:"start"`
	Route string        `json:"route"`
	Counts
	// WaitedFor counts by cause the requests that daemons did not answer completely and
	// in time.
	WaitedFor map[gateway.WaitCause]int `json:"waited_for,omitempty"`
}

// Result is the result of one run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Rows are ordered by interval, then in the order of the profile's routes.
	Rows  []Row  `json:"rows"`
	Total Counts `json:"total"`
	// Tenants are the requests by tenant in the time that the profile names.
	Tenants map[string]*Counts `json:"tenants,omitempty"`

	profile *Profile
}

func newResult(p *Profile, seed uint64) *Result {
	r := &Result{Seed: seed, profile: p}
	for start := time.Duration(0); start < p.Length; start += p.Interval {
		for _, route := range p.Routes {
			r.Rows = append(r.Rows, Row{Start: start, Route: route.Name, WaitedFor: map[gateway.WaitCause]int{}})
		}
	}
	return r
}

// row returns the row of a route at a time since the first request; nil if it is outside
// the run.
func (r *Result) row(at time.Duration, route string) *Row {
	if at < 0 || at >= r.profile.Length {
		return nil
	}
	for i := range r.profile.Routes {
		if r.profile.Routes[i].Name == route {
			return &r.Rows[int(at/r.profile.Interval)*len(r.profile.Routes)+i]
		}
	}
	return nil
}

func (r *Result) add(q *request, o outcome, shards float64) {
	row := r.row(q.w.sinceStart(q.begun), q.route.Name)
	if row == nil {
		return
	}
	for _, c := range []*Counts{&row.Counts, &r.Total} {
		c.add(q.route, o, shards)
	}
	if at := q.w.sinceStart(q.begun); q.sender.tenant != nil && at >= r.profile.TenantsFrom && at < r.profile.TenantsTo {
		if r.Tenants == nil {
			r.Tenants = map[string]*Counts{}
		}
		if r.Tenants[q.sender.name] == nil {
			r.Tenants[q.sender.name] = &Counts{}
		}
		r.Tenants[q.sender.name].add(q.route, o, shards)
	}
}

func (c *Counts) add(route *RouteProfile, o outcome, shards float64) {
	if o == abandoned {
		c.Abandoned++
		return
	}
	c.Owed += route.Worth
	c.Shards += shards
	switch o {
	case inTime:
		c.InTime++
		c.Credit += route.Worth * shards * shards
	case delayed:
		c.Late++
		c.Credit += route.Worth * (1 + route.LateWorth) / 2 * shards * shards
	case late:
		c.Late++
		c.Credit += route.Worth * route.LateWorth * shards * shards
	case refused:
		c.Refused++
	default:
		c.Failed++
	}
}

func (r *Result) addReport(at time.Duration, q *gateway.QueryReport) {
	if row := r.row(at, q.Route); row != nil && q.Wait != nil {
		row.WaitedFor[q.Wait.Cause]++
	}
}

// Window returns the counts of all routes from one time to another.
func (r *Result) Window(from, to time.Duration) Counts {
	var sum Counts
	for _, row := range r.Rows {
		if row.Start >= from && row.Start < to {
			sum = sum.plus(row.Counts)
		}
	}
	return sum
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		InTime: c.InTime + o.InTime, Late: c.Late + o.Late, Refused: c.Refused + o.Refused, Failed: c.Failed + o.Failed,
		Abandoned: c.Abandoned + o.Abandoned, Shards: c.Shards + o.Shards, Credit: c.Credit + o.Credit, Owed: c.Owed + o.Owed,
	}
}

// WriteText writes the rows as a table.
func (r *Result) WriteText(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "from\troute\tasked\tin time\tlate\trefused\tfailed\tabandoned\tshards\tworth\twaited for")
	for _, row := range r.Rows {
		row.write(t, row.Start.String())
	}
	total := Row{Route: "all", Counts: r.Total}
	total.write(t, "all")
	return t.Flush()
}

func (r Row) write(out io.Writer, label string) {
	fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%v\n",
		label, r.Route, r.Asked(), r.InTime, r.Late, r.Refused, r.Failed, r.Abandoned, r.ShardShare(), r.Worth(), r.WaitedFor)
}
