package capacity

import (
	"context"
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
)

// exchanges is the number of messages of one repetition.
const exchanges = 200

// exchanger sends Exchange messages whose reports are all news to the receiver.
type exchanger struct {
	world    *world
	process  *process
	client   *peer.Client
	sequence uint64
}

func newExchanger() (*exchanger, error) {
	p, err := startProcess(ServeConfig{Leafs: RegionLeafs, Members: RegionMembers})
	if err != nil {
		return nil, err
	}
	return &exchanger{world: newWorld(RegionLeafs, RegionMembers), process: p, client: peer.NewClient(nil)}, nil
}

func (x *exchanger) close() {
	x.client.Close()
	x.process.stop()
}

// cost returns the cost of one message in both processes.
func (x *exchanger) cost(servers, members int, full bool) (own, other, request float64, err error) {
	used, err := x.process.least(3, func() error {
		for range exchanges {
			if err := x.send(servers, members, full); err != nil {
				return err
			}
		}
		return nil
	})
	return micros(used.own, exchanges), micros(used.other, exchanges), float64(used.read) / kilo / exchanges, err
}

func (x *exchanger) send(servers, members int, full bool) error {
	x.sequence++
	_, err := x.client.Exchange(context.Background(), effect.SendExchange{
		Address: x.process.addr.Peer, Header: x.world.header(x.world.ordinary().MemberRef), Full: full,
		Servers: x.world.serverReports(servers, x.sequence), Members: x.world.memberReports(members, x.sequence),
	})
	return err
}

// exchangeCost measures ordinary exchanges against their reports, and full
// ones, to a receiver that knows one region of the design scale.
func exchangeCost(r *Report) error {
	method := fmt.Sprintf("pkg/peer to another process with the real loop, %d leafs and %d members, all reports new; least of 3 × %d", RegionLeafs, RegionMembers, exchanges)
	servers := Series{Name: "exchange_bytes_servers", X: "server reports", Y: "request with 25 member reports (KB)", Method: method}
	own := Series{Name: "exchange_sender_cpu", X: "server reports", Y: "CPU at the sender, response of the same size (µs)", Method: method}
	other := Series{Name: "exchange_receiver_cpu", X: "server reports", Y: "CPU at the receiver (µs)", Method: method}
	members := Series{Name: "exchange_bytes_members", X: "member reports", Y: "request without server reports (KB)", Method: method}
	if err := exchangeServers(&servers, &own, &other); err != nil {
		return err
	}
	if err := exchangeMembers(&members); err != nil {
		return err
	}
	if err := errors.Join(r.add(servers), r.add(own), r.add(other), r.add(members)); err != nil {
		return err
	}
	return fullExchanges(r, method)
}

func exchangeServers(bytes, own, other *Series) error {
	x, err := newExchanger()
	if err != nil {
		return err
	}
	defer x.close()
	for _, n := range []int{0, 8, 16, 24, serversPerExchange} {
		sender, receiver, request, err := x.cost(n, membersPerExchange, false)
		if err != nil {
			return err
		}
		bytes.Points = append(bytes.Points, Point{float64(n), request})
		own.Points = append(own.Points, Point{float64(n), sender})
		other.Points = append(other.Points, Point{float64(n), receiver})
	}
	return nil
}

func exchangeMembers(bytes *Series) error {
	x, err := newExchanger()
	if err != nil {
		return err
	}
	defer x.close()
	for _, n := range []int{1, 8, 16, membersPerExchange} {
		_, _, request, err := x.cost(0, n, false)
		if err != nil {
			return err
		}
		bytes.Points = append(bytes.Points, Point{float64(n), request})
	}
	return nil
}

// fullExchanges measures full lists, with members in proportion to the leafs.
func fullExchanges(r *Report, method string) error {
	bytes := Series{Name: "full_exchange_bytes", X: "leafs", Y: "request, members in proportion (KB)", Method: method}
	cost := Series{Name: "full_exchange_cpu", X: "leafs", Y: "CPU of both ends (µs)", Method: method}
	x, err := newExchanger()
	if err != nil {
		return err
	}
	defer x.close()
	for _, n := range []int{100, 250, 500, RegionLeafs} {
		own, other, request, err := x.cost(n, n*RegionMembers/RegionLeafs, true)
		if err != nil {
			return err
		}
		bytes.Points = append(bytes.Points, Point{float64(n), request})
		cost.Points = append(cost.Points, Point{float64(n), own + other})
	}
	return errors.Join(r.add(bytes), r.add(cost))
}
