package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/placement"
)

// regionSizes are the leafs of the worlds that are measured, up to all leafs of
// the design scale in one region.
var regionSizes = []int{200, 400, 767, 1500, 2300}

// memberSizes are the members of the worlds that are measured.
var memberSizes = []int{25, 50, 100, 187}

// worldSize is a number of leafs and members.
type worldSize struct{ leafs, members int }

// thousands returns leafs × members in thousands.
func (w worldSize) thousands() float64 { return float64(w.leafs*w.members) / kilo }

// worldSizes vary the members and the leafs around one region's.
var worldSizes = []worldSize{
	{RegionLeafs, 25}, {RegionLeafs, 50}, {RegionLeafs, 100}, {200, RegionMembers}, {400, RegionMembers},
	{RegionLeafs, RegionMembers}, {1500, RegionMembers}, {2300, RegionMembers},
}

// heapInUse returns the live heap in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// stateHeap returns the heap of a member's reducer with its documents.
func stateHeap(leafs, members int) (float64, error) {
	before := heapInUse()
	w := newWorld(leafs, members)
	s, err := newSimulated(w, []byte(w.yaml))
	after := heapInUse()
	runtime.KeepAlive(s)
	return after - before, err
}

const (
	kilo = 1e3
	mega = 1e6
)

// stateMemory measures the heap of a member's state, which holds the orders of
// owners of one epoch.
func stateMemory(r *Report) error {
	s := Series{
		Name: "state_heap", X: "leafs × members (thousands)", Y: "heap of one reducer (MB)",
		Method: "pkg/core.State after 3 simulated seconds, live heap after GC, bundle and reports included",
	}
	for _, size := range worldSizes {
		heap, err := stateHeap(size.leafs, size.members)
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{size.thousands(), heap / mega})
	}
	return r.add(s)
}

// idleTime is the simulated time of one repetition: a full list is exchanged
// every 20 exchanges of 500 ms.
const idleTime = 10 * time.Second

// idleReducer measures the CPU time of a member's reducer without queries.
func idleReducer(r *Report) error {
	s := Series{
		Name: "idle_reducer", X: "leafs", Y: "CPU per second (ms)",
		Method: fmt.Sprintf("pkg/core.State of an ordinary member of %d in simulated time, answers of peers included, least of 3 × %v", RegionMembers, idleTime),
	}
	for _, leafs := range regionSizes {
		x, err := newSimulated(newWorld(leafs, RegionMembers), nil)
		if err != nil {
			return err
		}
		used, err := leastCPU(3, func() error {
			x.run(idleTime)
			return nil
		})
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{float64(leafs), used.Seconds() * kilo / idleTime.Seconds()})
	}
	return r.add(s)
}

// epochTime is the simulated time in which a member takes in a new epoch.
const epochTime = 2 * time.Second

// change replaces the last member by a new VM and gives the new epoch to the
// reducer.
func (s *simulated) change() error {
	w := s.world
	members := slices.Clone(w.epoch.Members)
	last := &members[len(members)-1]
	last.VM += "x"
	last.Incarnation++
	w.epoch = newEpoch(w.bundle, w.epoch.Number+1, members, w.epoch.Panel)
	s.step(s.document(event.DocumentEpoch))
	s.run(epochTime)
	return s.check()
}

// epochChange measures the CPU time that one new epoch costs a member.
func epochChange(r *Report) error {
	s := Series{
		Name: "epoch_change", X: "leafs × members (thousands)", Y: "CPU per new epoch (ms)",
		Method: "pkg/core.State from the new epoch's arrival for 2 simulated seconds, less the idle cost of these, least of 10",
	}
	for _, size := range worldSizes {
		x, err := newSimulated(newWorld(size.leafs, size.members), nil)
		if err != nil {
			return err
		}
		idle, err := leastCPU(repeats, func() error { x.run(epochTime); return nil })
		if err != nil {
			return err
		}
		used, err := leastCPU(2*repeats, x.change)
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{size.thousands(), (used - idle).Seconds() * kilo})
	}
	return r.add(s)
}

// placementTime measures the computation of the order of owners of all leafs.
func placementTime(r *Report) error {
	s := Series{
		Name: "placement", X: "leafs × members (thousands)", Y: "CPU per table (ms)",
		Method: fmt.Sprintf("placement.NewTable, least of %d", repeats),
	}
	for _, size := range worldSizes {
		b, members := newBundle(size.leafs), newMembers(size.members)
		used, err := leastCPU(repeats, func() error { placement.NewTable(b, members); return nil })
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{size.thousands(), used.Seconds() * kilo})
	}
	return r.add(s)
}

// epochSize measures the encoded epoch object.
func epochSize(r *Report) error {
	byLeafs := Series{Name: "epoch_bytes_leafs", X: "leafs", Y: "epoch object (KB)", Method: fmt.Sprintf("json.Marshal as pkg/runtime writes it, %d members", RegionMembers)}
	byMembers := Series{Name: "epoch_bytes_members", X: "members", Y: "epoch object (KB)", Method: fmt.Sprintf("json.Marshal as pkg/runtime writes it, %d leafs", RegionLeafs)}
	size := func(leafs, members int) (float64, error) {
		raw, err := json.Marshal(newEpoch(newBundle(leafs), epochNumber, newMembers(members), nil))
		return float64(len(raw)) / kilo, err
	}
	for _, leafs := range regionSizes {
		kb, err := size(leafs, RegionMembers)
		if err != nil {
			return err
		}
		byLeafs.Points = append(byLeafs.Points, Point{float64(leafs), kb})
	}
	for _, members := range append(memberSizes, DesignDaemons) {
		kb, err := size(RegionLeafs, members)
		if err != nil {
			return err
		}
		byMembers.Points = append(byMembers.Points, Point{float64(members), kb})
	}
	return errors.Join(r.add(byLeafs), r.add(byMembers))
}
