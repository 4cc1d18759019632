package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

const (
	// maxDatagram bounds a gossip message in bytes.
	maxDatagram = 16 << 10
	// fetchTimeout bounds the reading of another daemon's view.
	fetchTimeout = 1500 * time.Millisecond
	// maxView bounds a view in bytes.
	maxView = 64 << 20
	// viewPath is where daemons serve their view to each other.
	viewPath = "/view"
)

// Peers exchanges gossip as datagrams and views over HTTP, both at the same
// port number.
type Peers struct {
	socket   *net.UDPConn
	client   *http.Client
	post     func(gateway.Event)
	follower *Follower
	onError  func(peer string, err error)
}

// NewPeers returns the link to the other daemons over an open socket.
func NewPeers(socket *net.UDPConn, post func(gateway.Event), f *Follower, onError func(string, error)) *Peers {
	return &Peers{
		socket: socket, post: post, follower: f, onError: onError,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// gossipEntry is a gateway.DaemonEntry with short names, since gossip is most of
// what daemons send each other.
type gossipEntry struct {
	Name           string              `json:"n"`
	Incarnation    uint64              `json:"i"`
	Counter        uint64              `json:"c"`
	CallerAddress  string              `json:"a,omitempty"`
	PeerAddress    string              `json:"p,omitempty"`
	FailureDomain  string              `json:"d,omitempty"`
	State          gateway.DaemonState `json:"s,omitempty"`
	ConfigVersion  uint64              `json:"v,omitempty"`
	ViewRevision   uint64              `json:"r,omitempty"`
	StoreDown      bool                `json:"x,omitempty"`
	Cores          float64             `json:"k,omitempty"`
	CallsPerSecond int                 `json:"l,omitempty"`
}

// Gossip sends entries to daemons. Datagrams may be lost; the next message
// tells the same.
func (p *Peers) Gossip(to []string, entries []gateway.DaemonEntry) {
	message := make([]gossipEntry, len(entries))
	for i, e := range entries {
		message[i] = gossipEntry(e)
	}
	data, err := json.Marshal(message)
	if err != nil {
		p.onError("", err)
		return
	}
	for _, address := range to {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			p.onError(address, err)
			continue
		}
		if _, err := p.socket.WriteToUDP(data, target); err != nil {
			p.onError(address, err)
		}
	}
}

// Receive reads gossip until the socket is closed.
func (p *Peers) Receive() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			continue
		}
		var message []gossipEntry
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			p.onError(from.String(), err)
			continue
		}
		entries := make([]gateway.DaemonEntry, len(message))
		for i, e := range message {
			entries[i] = gateway.DaemonEntry(e)
		}
		p.post(gateway.GossipReceived{Daemons: entries})
	}
}

// FetchView reads another daemon's view in the background and adopts it.
func (p *Peers) FetchView(from string) {
	go func() {
		view, err := p.fetch(from)
		if err != nil {
			p.onError(from, err)
			return
		}
		p.follower.Adopt(view)
	}()
}

func (p *Peers) fetch(from string) (View, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+viewPath, nil)
	if err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("edge: fetch view: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("edge: fetch view: status %d", resp.StatusCode)
	}
	var view View
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxView)).Decode(&view); err != nil {
		return nil, fmt.Errorf("edge: fetch view: %w", err)
	}
	return view, nil
}

// Handler serves this daemon's view.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+viewPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.follower.View()); err != nil {
			p.onError("", err)
		}
	})
	return mux
}
