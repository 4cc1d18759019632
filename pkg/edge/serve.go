package edge

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// ServeHTTP answers a request of a caller.
func (r *Runtime) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	// The caller's time has been running while the request was unread, and runs on
	// while its body is read.
	readAt, maxUnread := r.now(), r.lag()
	limits := r.currentLimits()
	if limits.MaxHeaderBytes > 0 && headerSize(req) > limits.MaxHeaderBytes {
		r.onRefusal(req.RemoteAddr, refusedHeader)
		w.Header().Set("Connection", "close")
		http.Error(w, "the header is larger than the configuration allows", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	id, wait := r.protocol.Caller(req.Header)
	body, held, ok := r.readBody(w, req, limits.MaxBodyBytes, wait)
	if !ok {
		return
	}
	defer r.budget.Return(held)
	p := &pendingRequest{
		readAt: readAt, maxUnread: maxUnread, requestID: id, request: req,
		leafRequests: &leafRequests{protocol: r.protocol, request: req, body: body},
		answers:      map[gateway.CallID]*keptAnswer{}, replyCh: make(chan reply, 1),
	}
	query := r.submitQuery(p, wait)
	defer r.releaseAnswers(p)
	select {
	case answer := <-p.replyCh:
		r.writeReply(w, answer)
	case <-req.Context().Done():
		r.abandonQuery(query)
		// The caller is gone. Returning would make net/http send an empty 200.
		panic(http.ErrAbortHandler)
	}
}

// submitQuery hands a request to the reducer under a new query ID.
func (r *Runtime) submitQuery(p *pendingRequest, wait time.Duration) gateway.QueryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastQuery++
	r.pending[r.lastQuery] = p
	r.postLocked(gateway.RequestArrived{
		At: p.readAt, MaxUnread: p.maxUnread, Query: r.lastQuery, RequestID: p.requestID, Host: p.request.Host, Path: p.request.RequestURI, CallerTimeout: wait,
		Credential: r.protocol.Credential(p.request.Header),
	})
	return r.lastQuery
}

// abandonQuery tells the reducer that the caller is gone.
func (r *Runtime) abandonQuery(query gateway.QueryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, query)
	r.postLocked(gateway.CallerGone{Query: query})
}

// releaseAnswers returns the memory of a request's answers to the budget.
func (r *Runtime) releaseAnswers(p *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseAnswersLocked(p)
}

func (r *Runtime) currentLimits() gateway.Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits
}

// headerSize returns the number of bytes of the request line and the header fields,
// without separators and line ends.
func headerSize(req *http.Request) int {
	size := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// WriteTime bounds the writing of an answer, in case the caller does not read it.
const WriteTime = 30 * time.Second

// forwardedHeader reduces a caller's header to the part that leafs get: all but the
// hop-by-hop fields.
func forwardedHeader(out http.Header) http.Header {
	connection := out["Connection"]
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	for _, list := range connection {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	if _, ok := out["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its own.
		out["User-Agent"] = nil
	}
	return out
}

func (r *Runtime) writeReply(w http.ResponseWriter, a reply) {
	// The error is ignored: response writers without deadlines, as in tests, write
	// without one.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTime))
	switch {
	case a.forward != nil:
		writeForward(w, a.forward)
	case a.merge != nil:
		r.protocol.Merged(w.Header(), a.merge.stamps, a.merge.missing)
		w.Header().Set("Content-Type", "application/octet-stream")
		writeBody(w, http.StatusOK, a.merge.body)
	default:
		writeRefusal(w, a.refuse)
	}
}

func writeForward(w http.ResponseWriter, a *keptAnswer) {
	h := w.Header()
	for name, values := range a.Header {
		if !slices.Contains(connectionHeaders, name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	writeBody(w, a.Status, a.Body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(body)
}

func writeRefusal(w http.ResponseWriter, e *gateway.Refuse) {
	if e.Reason == gateway.RefusalUnauthorized {
		w.Header().Set("WWW-Authenticate", "ApiKey")
	}
	if e.Reason.NotRun() && e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, refusalStatus(e.Reason), []byte(e.Reason.String()+"\n"))
}

// refusalStatus returns the status of the answer to a refused request.
func refusalStatus(reason gateway.Refusal) int {
	switch reason {
	case gateway.RefusalUnauthorized:
		return http.StatusUnauthorized
	case gateway.RefusalQuota:
		return http.StatusTooManyRequests
	case gateway.RefusalNoRoute:
		return http.StatusNotFound
	case gateway.RefusalFailed:
		return http.StatusBadGateway
	case gateway.RefusalDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
