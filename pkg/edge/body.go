package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Reasons for which requests outside the limits are refused.
const (
	refusedHeader      = "header_too_large"
	refusedBody        = "body_too_large"
	refusedBodyMemory  = "body_memory"
	refusedBodyTimeout = "body_timeout"
)

const (
	// defaultMaxBodyBytes is the limit of a body while no configuration is known.
	defaultMaxBodyBytes = 1 << 20
	// defaultBodyTimeout bounds the reading of the body if the caller does not state
	// how long it waits.
	defaultBodyTimeout = 30 * time.Second
	// retryAfterOverBudget is the Retry-After of a request whose body does not fit into
	// the budget.
	retryAfterOverBudget = 100 * time.Millisecond
	// initialBodyBytes is the size at which the buffer of a body starts, even if the caller
	// states a greater length.
	initialBodyBytes = 4 << 10
	// requestBodyShare is the part of the budget that bodies of requests may use, so that
	// callers that send them slowly leave room for answers.
	requestBodyShare = 0.75
)

// errBodyMemory means that the budget has no room for a body.
var errBodyMemory = errors.New("edge: no room for the body in the memory budget")

// readBody reads the whole body, of at most limit bytes (0 if the limit is unknown),
// within the time that the caller waits. held is the number of bytes that are reserved for
// it. If it returns false, it has sent the response. It panics with http.ErrAbortHandler
// if the body breaks off.
func (r *Runtime) readBody(w http.ResponseWriter, req *http.Request, limit int64, wait time.Duration) (body []byte, held int64, ok bool) {
	if req.ContentLength == 0 {
		return nil, 0, true
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if wait <= 0 {
		wait = defaultBodyTimeout
	}
	body, held, err := r.readBodyWithin(http.NewResponseController(w), http.MaxBytesReader(w, req.Body, limit), req.ContentLength, limit, wait)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, held, true
	case errors.Is(err, errBodyMemory):
		r.onRefusal(req.RemoteAddr, refusedBodyMemory)
		w.Header().Set("Connection", "close")
		writeRefusal(w, &gateway.Refuse{Reason: gateway.RefusalOverload, RetryAfter: retryAfterOverBudget})
	case errors.As(err, &tooLarge):
		r.onRefusal(req.RemoteAddr, refusedBody)
		http.Error(w, "the body is larger than the configuration allows", http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.onRefusal(req.RemoteAddr, refusedBodyTimeout)
		w.Header().Set("Connection", "close")
		http.Error(w, "the body did not come in time", http.StatusRequestTimeout)
	default:
		panic(http.ErrAbortHandler)
	}
	return nil, 0, false
}

// readBodyWithin reads a body to its end, for at most wait, into memory that it reserves
// as the bytes arrive. length is the stated length, negative if there is none.
func (r *Runtime) readBodyWithin(c *http.ResponseController, in io.Reader, length, limit int64, wait time.Duration) (body []byte, held int64, err error) {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return nil, 0, err
	}
	defer func() {
		if err != nil {
			r.budget.Return(held)
			body, held = nil, 0
		}
	}()
	for n := 0; ; {
		if n == len(body) {
			// One byte beyond the limit shows that a body is too large.
			size := min(max(initialBodyBytes, 2*int64(n)), limit+1)
			if length >= 0 {
				size = min(size, length+1)
			}
			if !r.budget.ReserveWithin(size-held, requestBodyShare) {
				return nil, held, errBodyMemory
			}
			held = size
			body = append(make([]byte, 0, size), body...)[:size]
		}
		read, err := in.Read(body[n:])
		n += read
		switch {
		case errors.Is(err, io.EOF):
			// The server keeps reading without a deadline, to notice when the caller
			// disconnects.
			return body[:n:n], held, c.SetReadDeadline(time.Time{})
		case err != nil:
			return nil, held, err
		}
	}
}
