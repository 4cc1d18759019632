package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
)

// errAnswer means that a peer did not answer as the measurement expects.
var errAnswer = errors.New("capacity: unexpected answer")

const (
	// executeSubs is the number of sub-requests of one repetition.
	executeSubs = 20_000
	// maxMessages bounds the messages of one repetition.
	maxMessages = 4000
	// workers is the number of messages under way at once.
	workers = 8
)

// parallel calls f n times from a few goroutines and returns the first error.
func parallel(n int, f func(i int) error) error {
	var next atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, workers)
	for w := range workers {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				if errs[w] = f(i); errs[w] != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// executeMessage returns an Execute message of k sub-requests.
func executeMessage(address string, k int) effect.OpenExecute {
	e := effect.OpenExecute{Peer: "entry-000", Address: address}
	for i := range k {
		e.Subs = append(e.Subs, model.SubRequest{
			Attempt: model.AttemptID(i + 1), RequestID: "entry-001.18b.9f3.1", Service: serviceName, Caller: callerName,
			Class: model.Normal, Idempotent: true, Query: "linen thread", TopK: itemsPerResult,
			Snapshot: model.Snapshot{Layout: layoutName, IndexVersion: indexVersion},
			Shard:    model.ShardName(shardName(i)), Server: newServer(i).Name,
		})
	}
	return e
}

// executeCost measures Execute streams against the sub-requests of a message.
func executeCost(r *Report) error {
	method := fmt.Sprintf("pkg/peer over loopback HTTP/2 between two processes, %d at once, answers at once with %d items of %d bytes; least of 3", workers, itemsPerResult, docSize)
	entry := Series{Name: "execute_entry", X: "sub-requests per message", Y: "CPU per message at the entry daemon (µs)", Method: method}
	owner := Series{Name: "execute_owner", X: "sub-requests per message", Y: "CPU per message at the owner (µs)", Method: method}
	bytes := Series{Name: "execute_bytes", X: "sub-requests per message", Y: "bytes per message, both directions (KB)", Method: method}
	p, err := startProcess(ServeConfig{Leafs: 10, Members: 3})
	if err != nil {
		return err
	}
	defer p.stop()
	client := peer.NewClient(nil)
	defer client.Close()
	for _, k := range messageSizes {
		message := executeMessage(p.addr.Peer, k)
		messages := min(maxMessages, executeSubs/k)
		used, err := p.least(3, func() error {
			return parallel(messages, func(int) error { return execute(client, message) })
		})
		if err != nil {
			return err
		}
		x := float64(k)
		entry.Points = append(entry.Points, Point{x, micros(used.own, messages)})
		owner.Points = append(owner.Points, Point{x, micros(used.other, messages)})
		bytes.Points = append(bytes.Points, Point{x, float64(used.read+used.written) / kilo / float64(messages)})
	}
	return errors.Join(r.add(entry), r.add(owner), r.add(bytes))
}

func execute(client *peer.Client, e effect.OpenExecute) error {
	got := 0
	err := client.Execute(context.Background(), e, model.Header{}, 10*time.Second, func(model.Header, model.SubResult) { got++ })
	if err == nil && got != len(e.Subs) {
		return fmt.Errorf("%w: %d results for %d sub-requests", errAnswer, got, len(e.Subs))
	}
	return err
}

// heartbeatTime is how long heartbeats are observed per size, after
// heartbeatWarmup.
const (
	heartbeatTime     = 3 * time.Second
	heartbeatWarmup   = 1200 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
)

// heartbeatCost measures a panel member and its members against the number of
// members, each with a connection of its own.
func heartbeatCost(r *Report) error {
	method := fmt.Sprintf("one heartbeat per member and %v over a connection of its own to another process with the real loop and %d leafs; one run of %v", heartbeatInterval, RegionLeafs, heartbeatTime)
	all := []Series{
		{Name: "panel_cpu", X: "members", Y: "CPU of the panel member (ms/s)", Method: method},
		{Name: "panel_bytes", X: "members", Y: "bytes of the panel member, both directions (KB/s)", Method: method},
		{Name: "panel_memory", X: "members", Y: "heap and stacks of the panel member (MB)", Method: method},
		{Name: "heartbeat_sender_cpu", X: "heartbeats per second", Y: "CPU of all senders (ms/s)", Method: method},
	}
	for _, n := range memberSizes {
		if err := panelRun(n, all); err != nil {
			return err
		}
	}
	var errs []error
	for _, s := range all {
		errs = append(errs, r.add(s))
	}
	return errors.Join(errs...)
}

func panelRun(n int, all []Series) error {
	p, err := startProcess(ServeConfig{Leafs: RegionLeafs, Members: n})
	if err != nil {
		return err
	}
	defer p.stop()
	w := newWorld(1, n)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &beats{world: w, address: p.addr.Peer}
	var wg sync.WaitGroup
	for i, m := range w.epoch.Members {
		if m.MemberRef != w.epoch.Panel[0] {
			wg.Go(func() { b.send(ctx, m, heartbeatInterval*time.Duration(i)/time.Duration(n)) })
		}
	}
	time.Sleep(heartbeatWarmup)
	before := b.granted.Load()
	used, err := p.observe(func() error { time.Sleep(heartbeatTime); return nil })
	if err != nil {
		return err
	}
	granted := float64(b.granted.Load() - before)
	memory, err := p.usage(true)
	if err != nil {
		return err
	}
	cancel()
	wg.Wait()
	if bad := b.other.Load(); bad > 0 || granted == 0 {
		return fmt.Errorf("%w: %v leases granted, %d heartbeats not", errAnswer, granted, bad)
	}
	seconds := heartbeatTime.Seconds()
	add := func(i int, x, y float64) { all[i].Points = append(all[i].Points, Point{x, y}) }
	add(0, float64(n), used.other.Seconds()*kilo/seconds)
	add(1, float64(n), float64(used.read+used.written)/kilo/seconds)
	add(2, float64(n), float64(memory.Heap+memory.Stack)/mega)
	add(3, granted/seconds, used.own.Seconds()*kilo/seconds)
	return nil
}

// beats sends heartbeats and counts the answers.
type beats struct {
	world   *world
	address string
	granted atomic.Int64
	other   atomic.Int64
}

// send sends one member's heartbeats until ctx ends.
func (b *beats) send(ctx context.Context, m model.Member, phase time.Duration) {
	client := peer.NewClient(nil)
	defer client.Close()
	e := effect.SendHeartbeat{Address: b.address, ForEpoch: epochNumber, Header: b.world.header(m.MemberRef), Member: m}
	time.Sleep(phase)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		answer, err := client.Heartbeat(ctx, e)
		switch {
		case ctx.Err() != nil:
		case err == nil && answer.Result == model.LeaseGranted:
			b.granted.Add(1)
		default:
			b.other.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
