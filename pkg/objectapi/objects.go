package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Object is one versioned value. In JSON the value is base64.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// putBody is the body of a write.
type putBody struct {
	Value []byte `json:"value"`
}

// versionBody is the body of the reply to a write.
type versionBody struct {
	Version uint64 `json:"version"`
}

// listBody is the body of a list reply.
type listBody struct {
	Objects []Object `json:"objects"`
}

// vmBody is the body of the VM list.
type vmBody struct {
	VMs []struct {
		Name  model.VM      `json:"name"`
		State model.VMState `json:"state"`
	} `json:"vms"`
}

// objectPath returns the URL path of an object. Slashes of the key are not
// escaped.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

// Get reads an object. Errors: ErrNotFound, ErrUnavailable, ErrInvalidReply.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	in := call{operation: "get", method: http.MethodGet, path: objectPath(key)}
	out, err := c.send(ctx, in)
	if err != nil {
		return Object{}, err
	}
	return readObject(in, out)
}

func readObject(in call, out reply) (Object, error) {
	switch out.status {
	case http.StatusOK:
		var o Object
		err := decodeReply(in, out, &o)
		return o, err
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	}
	return Object{}, unexpectedStatus(in, out)
}

// Put writes an object if it still has ifVersion; 0 means that it must not
// exist. It returns the new version. Errors: *ConflictError, ErrTooLarge,
// ErrUnavailable, ErrUnknownOutcome.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	body, err := json.Marshal(putBody{Value: value})
	if err != nil {
		return 0, fmt.Errorf("objectapi: encode %s: %w", key, err)
	}
	path := objectPath(key) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	in := call{operation: "put", method: http.MethodPut, path: path, body: body}
	out, err := c.send(ctx, in)
	if err != nil {
		return 0, err
	}
	return readVersion(key, in, out)
}

func readVersion(key string, in call, out reply) (uint64, error) {
	var v versionBody
	switch out.status {
	case http.StatusOK:
		err := decodeReply(in, out, &v)
		return v.Version, err
	case http.StatusConflict:
		// A body that cannot be decoded leaves version 0; the status alone says
		// that nothing was written.
		_ = json.Unmarshal(out.body, &v)
		return 0, &ConflictError{Key: key, Version: v.Version}
	}
	return 0, unexpectedStatus(in, out)
}

// Watch waits until the object's version differs from after and returns the
// object. If it does not change within the poll time, changed is false.
// Errors are those of Get.
func (c *Client) Watch(ctx context.Context, key string, after uint64, poll time.Duration) (o Object, changed bool, err error) {
	query := url.Values{
		"watch":      {"1"},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(poll.Milliseconds(), 10)},
	}
	in := call{operation: "watch", method: http.MethodGet, path: objectPath(key) + "?" + query.Encode()}
	out, err := c.send(ctx, in)
	if err != nil {
		return Object{}, false, err
	}
	if out.status == http.StatusNotModified {
		return Object{}, false, nil
	}
	o, err = readObject(in, out)
	return o, err == nil && o.Version != after, err
}

// List returns the objects whose keys begin with prefix. The platform may
// leave out their values.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	in := call{operation: "list", method: http.MethodGet, path: "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()}
	out, err := c.send(ctx, in)
	if err != nil {
		return nil, err
	}
	if out.status != http.StatusOK {
		return nil, unexpectedStatus(in, out)
	}
	var body listBody
	err = decodeReply(in, out, &body)
	return body.Objects, err
}

// VMs returns the platform's list of live and leaving VMs, which may be out of
// date.
func (c *Client) VMs(ctx context.Context) ([]model.VMEntry, error) {
	in := call{operation: "vms", method: http.MethodGet, path: "/v1/vms"}
	out, err := c.send(ctx, in)
	if err != nil {
		return nil, err
	}
	if out.status != http.StatusOK {
		return nil, unexpectedStatus(in, out)
	}
	var body vmBody
	if err := decodeReply(in, out, &body); err != nil {
		return nil, err
	}
	vms := make([]model.VMEntry, len(body.VMs))
	for i, vm := range body.VMs {
		vms[i] = model.VMEntry{VM: vm.Name, State: vm.State}
	}
	return vms, nil
}

// ReadBack resolves an ErrUnknownOutcome of a Put that was conditional on
// ifVersion. It returns the object's version when it holds value, a
// *ConflictError when another value was written, and ErrUnknownOutcome when the
// object is unchanged, since the write may still take effect or the copy read
// may be stale.
func (c *Client) ReadBack(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	o, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound) && ifVersion == 0:
		return 0, fmt.Errorf("%w: %s does not exist yet", ErrUnknownOutcome, key)
	case err != nil:
		return 0, fmt.Errorf("%w: read back %s: %w", ErrUnknownOutcome, key, err)
	case o.Version <= ifVersion:
		return 0, fmt.Errorf("%w: %s still has version %d", ErrUnknownOutcome, key, o.Version)
	case string(o.Value) == string(value):
		return o.Version, nil
	}
	return 0, &ConflictError{Key: key, Version: o.Version}
}
