package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// maxReadBacks bounds how often an object is read after a lost reply.
	maxReadBacks = 5
	// readBackPause is the pause between two of these reads.
	readBackPause = 200 * time.Millisecond
	// maxAttempts bounds the attempts at an update; only updates known not to
	// have been written are repeated.
	maxAttempts = 5
)

// Write writes an object if its version is ifVersion; 0 means that it must not
// exist. It returns the new version. After a lost reply it reads the object
// back: the write took effect if a newer object holds value, and was superseded
// by another writer if a newer object holds something else. If the object is
// unchanged, the outcome stays unknown, because the write may still arrive or
// the copy that was read may be stale.
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

// withFound adds the current object to the error, if it can be read.
func (c *Client) withFound(ctx context.Context, e *ErrChanged) error {
	found, err := c.Get(ctx, e.Key)
	if err == nil {
		e.Found = found
	}
	return e
}

func (c *Client) readBack(ctx context.Context, key string, value []byte, ifVersion uint64, cause error) (uint64, error) {
	for range maxReadBacks {
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

// pause waits for d and reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
