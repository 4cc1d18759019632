package edge

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

const (
	// maxDatagramBytes bounds a gossip message in bytes.
	maxDatagramBytes = 16 << 10
	// fetchTimeout bounds the reading of another daemon's view.
	fetchTimeout = 1500 * time.Millisecond
	// maxViewBytes bounds a view; the view of 2,300 leafs takes about a tenth of it.
	maxViewBytes = 8 << 20
	// maxReplyHeaderBytes bounds the header of another daemon's answer in bytes.
	maxReplyHeaderBytes = 16 << 10
	// viewPath is where daemons serve their view to each other.
	viewPath = "/view"
	// retainedParam asks for the retained objects with a view.
	retainedParam = "retained"
	// capacitiesParam asks for what a daemon has learned about leafs.
	capacitiesParam = "capacities"
	// maxCapacities bounds the leafs of which knowledge is taken over, about twice the
	// 2,300 leafs that are planned.
	maxCapacities = 5000
)

// Peers exchanges gossip over UDP and views over HTTP with the other daemons, both at
// the same port number.
type Peers struct {
	socket   *net.UDPConn
	client   *http.Client
	post     func(gateway.Event)
	follower *Follower
	onError  func(peer string, err error)
	traffic  PeerTraffic
	// lag returns the longest time for which bytes that are read now may have waited.
	lag func() time.Duration
	// capacities returns what this daemon has learned about leafs; nil if it is not shared.
	capacities func() []gateway.LeafCapacity
}

// PeerTraffic counts the bytes exchanged between daemons: gossip without the headers of
// datagrams, views as they are on the wire without HTTP headers.
type PeerTraffic struct {
	GossipSent, GossipReceived, ViewsSent, ViewsReceived atomic.Uint64
}

// Traffic returns the live counters.
func (p *Peers) Traffic() *PeerTraffic { return &p.traffic }

// NewPeers returns the link to the other daemons over an open socket. onError is called
// with the peer's address, empty if it is not known, and the error. lag returns the longest
// time for which bytes that are read now may have waited.
func NewPeers(socket *net.UDPConn, post func(gateway.Event), f *Follower, lag func() time.Duration, onError func(string, error)) *Peers {
	return &Peers{
		socket: socket, post: post, follower: f, lag: lag, onError: onError,
		client: &http.Client{Transport: answers.Transport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxReplyHeaderBytes})},
	}
}

// Gossip sends entries and this daemon's sections to daemons. Datagrams may be lost; the next message repeats
// their content.
func (p *Peers) Gossip(to []string, entries []gateway.DaemonEntry, sections gateway.Sections) {
	data, err := encodeGossip(entries, sections)
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
		n, err := p.socket.WriteToUDP(data, target)
		if err != nil {
			p.onError(address, err)
		}
		p.traffic.GossipSent.Add(uint64(n))
	}
}

// Receive reads gossip until the socket is closed.
func (p *Peers) Receive() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			p.onError("", err)
			continue
		}
		waited := p.lag()
		p.traffic.GossipReceived.Add(uint64(n))
		err = catchPanic(func() error {
			message, err := decodeGossip(buffer[:n])
			if err == nil {
				message.Waited = waited
				p.post(message)
			}
			return err
		})
		if err != nil {
			p.onError(from.String(), err)
		}
	}
}

// FetchView fetches another daemon's view in the background and adopts it.
func (p *Peers) FetchView(e gateway.FetchView) {
	go func() {
		var capacities []gateway.LeafCapacity
		err := catchPanic(func() error {
			since := p.follower.Positions()
			view, err := p.requestView(e.From, since, e.Retained, e.Capacities)
			if err == nil {
				p.follower.Adopt(e.Daemon, view, since)
				capacities = usableCapacities(view.Capacities)
			}
			return err
		})
		if err != nil {
			p.onError(e.From, err)
		}
		p.post(gateway.ViewFetched{Fetch: e, OK: err == nil, Capacities: capacities})
	}()
}

// ShareCapacities lets daemons that start fetch what this one has learned about leafs.
func (p *Peers) ShareCapacities(capacities func() []gateway.LeafCapacity) { p.capacities = capacities }

// usableCapacities returns the entries that a daemon can have learned, up to maxCapacities.
func usableCapacities(list []gateway.LeafCapacity) []gateway.LeafCapacity {
	var out []gateway.LeafCapacity
	for _, c := range list[:min(len(list), maxCapacities)] {
		if isName(c.Leaf) && isAmount(c.Limit) && isAmount(c.BaseLatency) {
			out = append(out, c)
		}
	}
	return out
}

// requestView fetches what another daemon knows beyond the given positions, if asked with
// the objects that it has retained and with what it has learned about leafs.
func (p *Peers) requestView(from string, since map[Kind]Position, retained, capacities bool) (View, error) {
	query := url.Values{}
	if retained {
		query.Set(retainedParam, "1")
	}
	if capacities {
		query.Set(capacitiesParam, "1")
	}
	for kind, position := range since {
		query.Set(string(kind), position.String())
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+viewPath+"?"+query.Encode(), nil)
	if err != nil {
		return View{}, fmt.Errorf("edge: fetch view: %w", err)
	}
	// With this header set here, net/http does not decompress the body, so that the
	// bytes on the wire can be counted.
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := p.client.Do(req)
	if err != nil {
		return View{}, fmt.Errorf("edge: fetch view: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return View{}, fmt.Errorf("edge: fetch view: status %d", resp.StatusCode)
	}
	var view View
	body := io.Reader(countingReader{resp.Body, &p.traffic.ViewsReceived})
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(body)
		if err != nil {
			return View{}, fmt.Errorf("edge: fetch view: %w", err)
		}
		body = z
	}
	limited := &io.LimitedReader{R: body, N: maxViewBytes}
	decoder := json.NewDecoder(limited)
	err = decoder.Decode(&view)
	if err == nil {
		// Only the end of the body shows that the answer is complete.
		err = atEnd(decoder)
	}
	switch {
	case err != nil && limited.N <= 0:
		return View{}, fmt.Errorf("edge: fetch view: body exceeds %d bytes", maxViewBytes)
	case err != nil:
		return View{}, fmt.Errorf("edge: fetch view: %w", err)
	}
	if err := view.validate(); err != nil {
		return View{}, fmt.Errorf("edge: fetch view: %w", err)
	}
	return view, nil
}

// errAfterView means that a body goes on after a view.
var errAfterView = errors.New("edge: bytes after the view")

// atEnd reads what follows a decoded value and returns an error unless the body ends.
func atEnd(d *json.Decoder) error {
	_, err := d.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errAfterView
	}
	return err
}

// Handler serves this daemon's view.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+viewPath, func(w http.ResponseWriter, r *http.Request) {
		since := map[Kind]Position{}
		for _, kind := range slices.Concat(Kinds, []Kind{KindRollouts}) {
			// A missing or unreadable position asks for the whole state.
			if position, err := parsePosition(r.URL.Query().Get(string(kind))); err == nil {
				since[kind] = position
			}
		}
		w.Header().Set("Content-Type", "application/json")
		counted := &countingWriter{ResponseWriter: w, count: &p.traffic.ViewsSent}
		view := p.follower.View(since)
		if r.URL.Query().Has(retainedParam) {
			view.Retained = p.follower.RetainedObjects()
		}
		if p.capacities != nil && r.URL.Query().Has(capacitiesParam) {
			view.Capacities = p.capacities()
		}
		if err := writeView(counted, r, view); err != nil {
			p.onError(r.RemoteAddr, err)
		}
	})
	return mux
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	count *atomic.Uint64
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	w.count.Add(uint64(n))
	return n, err
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count *atomic.Uint64
}

// Read implements io.Reader.
func (r countingReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	r.count.Add(uint64(n))
	return n, err
}

// writeView writes a view, compressed if the other daemon accepts that, as net/http
// clients do by default: configurations repeat names and keys.
func writeView(w http.ResponseWriter, r *http.Request, view View) error {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		return json.NewEncoder(w).Encode(view)
	}
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return fmt.Errorf("edge: compress view: %w", err)
	}
	return errors.Join(json.NewEncoder(z).Encode(view), z.Close())
}
