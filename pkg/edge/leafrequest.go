package edge

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// leafRequest is a request as leafs get it. It is encoded once; only the values of the
// fields that Protocol.ToLeaf and SetTenant set differ between attempts. A caller's header may have
// thousands of fields and a query hundreds of attempts, so that a map for each attempt
// would take many times the bytes of the request.
type leafRequest struct {
	// request tells the method.
	request *http.Request
	// parts are the bytes of the head before, between and after the values of fields.
	parts  [][]byte
	fields []string
	body   []byte
	// err is set if the request cannot be encoded; it fails each attempt.
	err error
}

// requestForm is a form in which a request is sent. It depends on the configuration in force
// when an attempt begins.
type requestForm uint8

const (
	// formPlain has the caller's fields: the configuration has no tenants.
	formPlain requestForm = iota
	// formWithoutTenant has neither a key nor the name of a tenant.
	formWithoutTenant
	// formWithTenant has the name of the key's tenant in place of the key.
	formWithTenant
	requestForms
)

func formOf(identity tenant.Identity) requestForm {
	switch {
	case !identity.Checked:
		return formPlain
	case identity.Name() == "":
		return formWithoutTenant
	}
	return formWithTenant
}

// leafRequests holds a caller's request in the forms in which it is sent to leafs. Each is
// encoded when the first attempt needs it. It is safe for concurrent use.
type leafRequests struct {
	protocol Protocol
	request  *http.Request
	body     []byte

	mu sync.Mutex
	// header is the part of the caller's header that leafs get; nil before the first form.
	header http.Header
	forms  [requestForms]*leafRequest
}

// form returns the request in a form.
func (l *leafRequests) form(f requestForm) *leafRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forms[f] != nil {
		return l.forms[f]
	}
	if l.header == nil {
		l.header = forwardedHeader(l.request.Header)
	}
	fields := http.Header{}
	l.protocol.ToLeaf(fields, time.Second, "leaf")
	header := l.header
	if f != formPlain {
		header = maps.Clone(header)
		name := ""
		if f == formWithTenant {
			name = "tenant"
			l.protocol.SetTenant(fields, name)
		}
		l.protocol.SetTenant(header, name)
	}
	l.forms[f] = newLeafRequest(l.request, header, slices.Sorted(maps.Keys(fields)), l.body)
	return l.forms[f]
}

// newLeafRequest encodes a request with a header of its own, which it changes.
func newLeafRequest(req *http.Request, header http.Header, fields []string, body []byte) *leafRequest {
	l := &leafRequest{request: &http.Request{Method: req.Method}, fields: fields, body: body}
	for _, name := range fields {
		header[name] = []string{""}
	}
	// net/http writes a target that begins with two slashes in absolute form.
	slashes := max(0, len(req.RequestURI)-len(strings.TrimLeft(req.RequestURI, "/"))-1)
	r := &http.Request{
		Method: req.Method,
		URL:    &url.URL{Scheme: "http", Host: req.Host, Opaque: req.RequestURI[slashes:]},
		Host:   req.Host,
		Header: header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	var encoded bytes.Buffer
	encoded.Grow(initialLeafHead + len(body))
	if err := r.Write(&encoded); err != nil {
		l.err = fmt.Errorf("edge: encode request: %w", err)
		return l
	}
	head := encoded.Bytes()[:encoded.Len()-len(body)]
	switch {
	case slashes > 0:
		target := len(req.Method) + 1
		head = slices.Concat(head[:target], []byte(req.RequestURI[:slashes]), head[target:])
	case len(body) > 0:
		head = bytes.Clone(head)
	}
	for _, name := range fields {
		// No other line has this name, and values have no line ends.
		line := []byte("\r\n" + name + ": ")
		start := bytes.Index(head, line)
		if start < 0 {
			l.err = fmt.Errorf("edge: encode request: no field %s", name)
			return l
		}
		l.parts = append(l.parts, head[:start+len(line)])
		head = head[start+len(line):]
	}
	l.parts = append(l.parts, head)
	return l
}

// initialLeafHead is the size in bytes for which an encoded head has room at first; an
// ordinary one has 400.
const initialLeafHead = 1 << 10

// write writes the request with the values of an attempt.
func (l *leafRequest) write(b *bytes.Buffer, values http.Header) error {
	if l.err != nil {
		return l.err
	}
	for i, name := range l.fields {
		b.Write(l.parts[i])
		if list := values[name]; len(list) > 0 {
			b.WriteString(fieldValue(list[0]))
		}
	}
	b.Write(l.parts[len(l.fields)])
	b.Write(l.body)
	return nil
}

// fieldValue returns a value as net/http writes it.
func fieldValue(v string) string {
	if strings.ContainsAny(v, "\r\n") {
		v = strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
	}
	return strings.Trim(v, " \t\r\n")
}
