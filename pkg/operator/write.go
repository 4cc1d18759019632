package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// readBacks is how often an object is read after a lost reply.
	readBacks = 5
	// readBackPause lies between two of them.
	readBackPause = 200 * time.Millisecond
	// maxAttempts bounds the repetition of updates that are known not to have
	// been written.
	maxAttempts = 5
)

// Write replaces an object that has ifVersion; 0 means that it must not exist.
// After a lost reply it reads back: the write took effect if the object now
// holds value, and was lost to another writer if it holds something else. If
// the object is unchanged the outcome stays unknown, because the write may
// still arrive or the copy read may be stale.
func (c *Client) Write(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := c.put(ctx, key, value, ifVersion)
	var changed *ErrChanged
	switch {
	case errors.As(err, &changed):
		return 0, c.withFound(ctx, changed)
	case errors.Is(err, ErrUnknownOutcome):
		return c.readBack(ctx, key, value, ifVersion, err)
	}
	return version, err
}

// withFound adds the present object to the error, if it can be read.
func (c *Client) withFound(ctx context.Context, e *ErrChanged) error {
	found, err := c.Get(ctx, e.Key)
	if err == nil {
		e.Found = found
	}
	return e
}

func (c *Client) readBack(ctx context.Context, key string, value []byte, ifVersion uint64, cause error) (uint64, error) {
	for range readBacks {
		found, err := c.Get(ctx, key)
		switch {
		case err != nil || found.Version <= ifVersion:
			// Not readable yet, not written yet, or a stale copy.
		case bytes.Equal(found.Value, value):
			return found.Version, nil
		default:
			return 0, &ErrChanged{Key: key, Found: found}
		}
		if !pause(ctx, readBackPause) {
			break
		}
	}
	return 0, fmt.Errorf("%w: %s was still unchanged or unreadable when read back", cause, key)
}

// pause waits for d and reports whether the context still holds.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
