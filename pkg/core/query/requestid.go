package query

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ErrRequestID is wrapped by the errors for ids that were not built from a
// lookup's prefix.
var ErrRequestID = errors.New("query: request id is not of the form <vm>.<incarnation>.<issued>-<random>.<n>")

// idParts are the parts of a request id that was built from a lookup's prefix.
// The nonce of the prefix is the issue time in Unix ms in hexadecimal, a dash
// and a random number, so that any daemon can tell whether the range of ids has
// expired without a record of it.
type idParts struct {
	member model.MemberRef
	// issued is in Unix ms on the clock of the daemon that answered the lookup.
	issued int64
}

// requestIDPrefix returns a new prefix for ids that the member may start.
func requestIDPrefix(member model.MemberRef, issued int64, random uint64) string {
	return fmt.Sprintf("%s.%x-%016x", member, issued, random)
}

// parseRequestID parses an id from the right, because a VM name may contain
// dots.
func parseRequestID(id model.RequestID) (idParts, error) {
	rest, n, ok1 := cutAtLast(string(id), ".")
	rest, nonce, ok2 := cutAtLast(rest, ".")
	vm, incarnation, ok3 := cutAtLast(rest, ".")
	issued, random, ok4 := strings.Cut(nonce, "-")
	if !ok1 || !ok2 || !ok3 || !ok4 || vm == "" {
		return idParts{}, ErrRequestID
	}
	if _, err := strconv.ParseUint(n, 10, 64); err != nil {
		return idParts{}, fmt.Errorf("%w: number: %w", ErrRequestID, err)
	}
	if _, err := strconv.ParseUint(random, 16, 64); err != nil {
		return idParts{}, fmt.Errorf("%w: random: %w", ErrRequestID, err)
	}
	inc, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil {
		return idParts{}, fmt.Errorf("%w: incarnation: %w", ErrRequestID, err)
	}
	ms, err := strconv.ParseInt(issued, 16, 64)
	if err != nil || ms < 0 {
		return idParts{}, fmt.Errorf("%w: issue time %q", ErrRequestID, issued)
	}
	ref := model.MemberRef{VM: model.VM(vm), Incarnation: model.Incarnation(inc)}
	return idParts{member: ref, issued: ms}, nil
}

func cutAtLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
