// Package operator implements the operators' side of the control plane: it
// changes bundles and controls on the platform by conditional updates and asks
// daemons whether a change is in force.
//
// After a lost reply it reads the object back to find out whether the write took
// effect. It never repeats a write whose outcome is unknown.
package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
)

// callTimeout bounds one call to the platform, which answers within
// milliseconds when it is up.
const callTimeout = 5 * time.Second

// Object is one versioned value of the platform.
type Object = objectapi.Object

// Client calls the platform's object API.
type Client struct {
	api *objectapi.Client
	// addresses is the number of addresses that a call may try.
	addresses int
}

// NewClient returns a client of the platform at the addresses (ip:port), which
// are tried in order.
func NewClient(addresses []string) *Client {
	urls := make([]string, len(addresses))
	for i, address := range addresses {
		urls[i] = "http://" + address
	}
	// A command makes few calls, so their rate is not limited.
	return &Client{api: objectapi.New(objectapi.Options{URLs: urls, Rate: float64(rate.Inf)}), addresses: len(addresses)}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (o Object, err error) {
	err = c.call(ctx, key, func(ctx context.Context) (err error) {
		o, err = c.api.Get(ctx, key)
		return err
	})
	return o, err
}

// List returns the objects whose keys start with prefix. The platform may
// leave out their values.
func (c *Client) List(ctx context.Context, prefix string) (list []Object, err error) {
	err = c.call(ctx, prefix, func(ctx context.Context) (err error) {
		list, err = c.api.List(ctx, prefix)
		return err
	})
	return list, err
}

// put writes an object if its version is still ifVersion; 0 means that it must
// not exist. It returns the new version.
func (c *Client) put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
	err = c.call(ctx, key, func(ctx context.Context) (err error) {
		version, err = c.api.Put(ctx, key, value, ifVersion)
		return err
	})
	return version, err
}

// call tries the platform's addresses until one accepts the call. It tries the
// next address only after ErrUnavailable, which means that the call had no
// effect.
func (c *Client) call(ctx context.Context, key string, send func(context.Context) error) error {
	errs := []error{ErrUnavailable}
	for range c.addresses {
		err := c.callOnce(ctx, send)
		if !errors.Is(err, objectapi.ErrUnavailable) {
			return translateError(key, err)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (c *Client) callOnce(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return send(ctx)
}

// translateError turns the errors of the object API into those of this package.
func translateError(key string, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, objectapi.ErrConflict) {
		return &ErrChanged{Key: key}
	}
	for from, to := range map[error]error{
		objectapi.ErrNotFound: ErrNotFound, objectapi.ErrUnknownOutcome: ErrUnknownOutcome,
		objectapi.ErrTooLarge: ErrTooLarge, objectapi.ErrInvalidReply: ErrInvalidReply,
	} {
		if errors.Is(err, from) {
			return fmt.Errorf("%w: %s: %w", to, key, err)
		}
	}
	return fmt.Errorf("operator: %s: %w", key, err)
}
