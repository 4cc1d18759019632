package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Frontend runs the requests and lookups of callers.
type Frontend interface {
	// Query runs a request with the given time left. One of the results is
	// set, or neither when ctx ended first.
	Query(ctx context.Context, req model.Request, left time.Duration) (*model.Answer, *model.Refusal)
	// Lookup returns the addresses for a caller, or nil when ctx ended first.
	Lookup(ctx context.Context, service model.ServiceName, caller model.CallerName) *effect.ReplyLookup
	// Header returns the versions to state in a response.
	Header() model.Header
}

type handler struct{ front Frontend }

// NewHandler returns the HTTP handler of the caller API.
func NewHandler(front Frontend) http.Handler {
	h := &handler{front: front}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", h.lookup)
	mux.HandleFunc("POST /v1/services/{service}/query", h.query)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Set here so that the mux's own responses, such as 404, have the headers.
		h.setVersionHeaders(w)
		mux.ServeHTTP(w, r)
	})
}

// setVersionHeaders sets the headers that every response carries.
func (h *handler) setVersionHeaders(w http.ResponseWriter) {
	header := h.front.Header()
	w.Header().Set(HeaderBundleVersion, strconv.FormatUint(header.BundleVersion, 10))
	w.Header().Set(HeaderEpoch, strconv.FormatUint(header.Epoch, 10))
}

func (h *handler) lookup(w http.ResponseWriter, r *http.Request) {
	service := model.ServiceName(r.FormValue("service"))
	caller := model.CallerName(r.FormValue("caller"))
	if service == "" || caller == "" {
		h.writeRefusal(w, invalidRefusal("", "service and caller are required"))
		return
	}
	reply := h.front.Lookup(r.Context(), service, caller)
	switch {
	case reply == nil:
		h.writeRefusal(w, &model.Refusal{Kind: model.NotRun, Reason: "no reply to the lookup in time"})
	case reply.Refusal != nil:
		h.writeRefusal(w, reply.Refusal)
	default:
		h.writeLookup(w, reply)
	}
}

func (h *handler) writeLookup(w http.ResponseWriter, reply *effect.ReplyLookup) {
	body, err := json.Marshal(NewLookup(reply))
	if err != nil {
		h.writeRefusal(w, &model.Refusal{Kind: model.NotRun, Reason: err.Error()})
		return
	}
	h.writeJSON(w, http.StatusOK, body)
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	var in QueryRequest
	err := decodeStrict(http.MaxBytesReader(w, r.Body, MaxBodyBytes), &in)
	if err == nil {
		err = in.Validate()
	}
	if err != nil {
		h.writeRefusal(w, invalidRefusal(in.RequestID, reasonOf(err)))
		return
	}
	req, left := in.request(model.ServiceName(r.PathValue("service")))
	answer, refusal := h.front.Query(r.Context(), req, left)
	switch {
	case answer != nil:
		h.writeAnswer(w, answer)
	case refusal != nil:
		h.writeRefusal(w, refusal)
	default:
		// The caller has disconnected; its request may have run.
		h.writeRefusal(w, &model.Refusal{RequestID: req.ID, Kind: model.MayHaveRun, Reason: "abandoned by the caller"})
	}
}

func (h *handler) writeAnswer(w http.ResponseWriter, a *model.Answer) {
	body, err := EncodeAnswer(a, h.front.Header().Epoch)
	if err != nil {
		h.writeRefusal(w, &model.Refusal{RequestID: a.RequestID, Kind: model.MayHaveRun, Reason: err.Error()})
		return
	}
	h.writeJSON(w, http.StatusOK, body)
}

// statusOf is the HTTP status of a refusal.
func statusOf(kind model.RefusalKind) int {
	switch kind {
	case model.NotRun:
		return http.StatusServiceUnavailable
	case model.Invalid:
		return http.StatusBadRequest
	}
	return http.StatusBadGateway
}

func (h *handler) writeRefusal(w http.ResponseWriter, r *model.Refusal) {
	body, err := json.Marshal(NewRefusal(r))
	if err != nil {
		http.Error(w, "cannot encode refusal", http.StatusBadGateway)
		return
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	h.writeJSON(w, statusOf(r.Kind), body)
}

func (h *handler) writeJSON(w http.ResponseWriter, status int, body []byte) {
	// Set again, since the versions may have changed while the request ran.
	h.setVersionHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(body)
}

func invalidRefusal(id model.RequestID, reason string) *model.Refusal {
	return &model.Refusal{RequestID: id, Kind: model.Invalid, Reason: reason}
}

// reasonOf returns the text of an error as the caller gets it.
func reasonOf(err error) string {
	if e := new(InvalidError); errors.As(err, &e) {
		return e.Reason
	}
	return err.Error()
}

// decodeStrict reads exactly one JSON value without unknown fields.
func decodeStrict(r io.Reader, into any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalid("body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return invalid("body: more than one JSON value or above %d bytes", MaxBodyBytes)
	}
	return nil
}
