package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

const (
	clusterLeafs = 4
	// quietTime lets a cluster come to rest before its calls are counted.
	quietTime = 1500 * time.Millisecond
	// idleWindow, outageWindow and afterWindow are how long calls are counted.
	idleWindow   = 4 * time.Second
	outageWindow = 3 * time.Second
	afterWindow  = 2 * time.Second
	// watchPoll is the length of a long poll in pkg/runtime.
	watchPoll     = 30.0 // seconds
	clusterChange = 7
)

// clusterSizes are the daemons of the measured clusters.
var clusterSizes = []int{2, 4, 8, 16}

// cluster is a testbed with leafs whose connections are counted.
type cluster struct {
	*testbed
	leafs   []*meteredListener
	version uint64
}

func newCluster(n int) (*cluster, error) {
	c := new(cluster)
	ctx, cancel := context.WithCancel(context.Background())
	addresses := make([]string, clusterLeafs)
	for i := range addresses {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			cancel()
			return nil, fmt.Errorf("capacity: listen: %w", err)
		}
		m := &meteredListener{Listener: l, traffic: new(traffic)}
		if err := serveLeaf(ctx, i, m); err != nil {
			cancel()
			return nil, err
		}
		c.leafs = append(c.leafs, m)
		addresses[i] = l.Addr().String()
	}
	yaml := testYAML([]testService{{name: "arhiv", leafs: addresses}}, leafSlots, leafConns)
	t, err := newTestbed(n, yaml)
	if err != nil {
		cancel()
		return nil, err
	}
	c.testbed = t
	context.AfterFunc(t.ctx, cancel)
	return c, nil
}

func serveLeaf(ctx context.Context, i int, l net.Listener) error {
	s, err := backend.New(backend.Config{
		Name: string(newServer(i).Name), Service: "arhiv", Slots: leafSlots, Connections: leafConns, KeepRuns: 1,
		Corpus: backend.Corpus{Documents: backendDocuments},
		Serves: []backend.Serve{{Shard: backend.Shard{Layout: string(layoutName), Name: shardName(i)}, Versions: []uint64{indexVersion}}},
	}, nil)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { s.Close() })
	go s.Serve(l)
	return nil
}

// calls returns the platform calls counted since the last reset.
func (c *cluster) calls() (platform.Counts, float64) {
	n := c.platform.Counts()
	return n, float64(n.Reads + n.Writes + n.Watches + n.Lists + n.VMs)
}

// count resets the counters, runs f and returns the calls meanwhile.
func (c *cluster) count(f func() error) (float64, error) {
	c.platform.ResetCounts()
	err := f()
	_, calls := c.calls()
	return calls, err
}

// change writes new controls and returns the time until the last daemon has
// them in effect.
func (c *cluster) change() (time.Duration, error) {
	c.version++
	start := time.Now()
	if err := c.putControls(c.version); err != nil {
		return 0, err
	}
	if err := await(settleTimeout, func() bool {
		return !slices.ContainsFunc(c.daemons, func(d *testDaemon) bool { return d.controls.Load() != c.version })
	}); err != nil {
		return 0, err
	}
	var last time.Time
	for _, d := range c.daemons {
		if at := *d.seen.Load(); at.After(last) {
			last = at
		}
	}
	return last.Sub(start), nil
}

// clusterValues are what one cluster gives, in the order of clusterSeries.
type clusterValues [7]float64

// panelOf is the size of the panel of a small cluster.
func panelOf(n int) int {
	members := newMembers(n)
	panel := len(newEpoch(new(model.Bundle), epochNumber, members, nil).Panel)
	// pkg/core/membership leaves an even panel's last member out.
	return panel - 1 + panel%2
}

func clusterSeries() []Series {
	method := "clusters of daemons in one process, each with its platform stand-in, at the same time, no queries"
	x := "daemons"
	return []Series{
		{Name: "platform_idle", X: x, Y: "platform calls per second, idle", Method: method + fmt.Sprintf("; counted for %v, pending watches once per 30 s", idleWindow)},
		{Name: "platform_change", X: x, Y: "platform calls per controls change above idle", Method: method + fmt.Sprintf("; median of %d changes", clusterChange)},
		{Name: "platform_outage", X: x, Y: "platform calls per second in an outage", Method: method + fmt.Sprintf("; counted for %v", outageWindow)},
		{Name: "platform_after", X: x, Y: "platform calls per second after an outage", Method: method + fmt.Sprintf("; first %v", afterWindow)},
		{Name: "spread_last", X: x, Y: "time until the last daemon has new controls (ms)", Method: method + fmt.Sprintf("; median of %d changes", clusterChange)},
		{Name: "spread_worst", X: x, Y: "the same, largest (ms)", Method: method + fmt.Sprintf("; largest of %d changes", clusterChange)},
		{Name: "leaf_connections", X: x, Y: "open connections per leaf", Method: method + fmt.Sprintf("; %d leafs with %d slots, largest", clusterLeafs, leafSlots)},
	}
}

// clusterCosts measures platform calls, the spread of a change and connections
// per leaf against the number of daemons.
func clusterCosts(r *Report) error {
	values := make([]clusterValues, len(clusterSizes))
	errs := make([]error, len(clusterSizes))
	var wg sync.WaitGroup
	for i, n := range clusterSizes {
		wg.Go(func() { values[i], errs[i] = clusterRun(n) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i, s := range clusterSeries() {
		byPanel := s
		byPanel.Name, byPanel.X = s.Name+"_panel", "panel members"
		for j, n := range clusterSizes {
			s.Points = append(s.Points, Point{float64(n), values[j][i]})
			byPanel.Points = append(byPanel.Points, Point{float64(panelOf(n)), values[j][i]})
		}
		errs = append(errs, r.add(s))
		if strings.HasPrefix(s.Name, "platform_") {
			errs = append(errs, r.add(byPanel))
		}
	}
	return errors.Join(errs...)
}

func clusterRun(n int) (clusterValues, error) {
	var v clusterValues
	c, err := newCluster(n)
	if err != nil {
		return v, err
	}
	defer c.close()
	time.Sleep(quietTime)
	idle, _ := c.count(func() error { time.Sleep(idleWindow); return nil })
	counts, _ := c.calls()
	idleRate := idle / idleWindow.Seconds()
	v[0] = idleRate + float64(counts.Waiting)/watchPoll
	if err := c.changes(idleRate, &v); err != nil {
		return v, err
	}
	c.platform.SetOutage(true)
	outage, _ := c.count(func() error { time.Sleep(outageWindow); return nil })
	c.platform.SetOutage(false)
	after, _ := c.count(func() error { time.Sleep(afterWindow); return nil })
	v[2] = outage / outageWindow.Seconds()
	v[3] = after / afterWindow.Seconds()
	for _, l := range c.leafs {
		v[6] = max(v[6], float64(l.open.Load()))
	}
	return v, nil
}

// changes makes several changes at varied times.
func (c *cluster) changes(idleRate float64, v *clusterValues) error {
	var times, calls []float64
	for i := range clusterChange {
		time.Sleep(time.Duration(600+70*i) * time.Millisecond)
		start := time.Now()
		var took time.Duration
		n, err := c.count(func() (err error) { took, err = c.change(); return err })
		if err != nil {
			return err
		}
		times = append(times, took.Seconds()*kilo)
		calls = append(calls, max(0, n-idleRate*time.Since(start).Seconds()))
	}
	slices.Sort(times)
	slices.Sort(calls)
	v[1], v[4], v[5] = calls[len(calls)/2], times[len(times)/2], times[len(times)-1]
	return nil
}
