package edge

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Position is a point in the history of the store. Revisions of different eras do not
// compare: a store that comes back from a copy assigns revisions again in its next era.
type Position struct {
	// Era is 0 if the store names none.
	Era uint64
	// Revision is the revision within the era.
	Revision uint64
}

// ErrEraChanged means that a conditional write was not sent because its object was read in
// an earlier era of the store, or that the store changed its era while it was under way. In
// the second case it may have taken effect and has to be read back.
var ErrEraChanged = errors.New("edge: the store changed its era")

// compare orders positions by era first and revision second.
func (p Position) compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// String returns the position as daemons name it to each other: the revision alone if the
// store names no era, which daemons of earlier versions read.
func (p Position) String() string {
	if p.Era == 0 {
		return strconv.FormatUint(p.Revision, 10)
	}
	return fmt.Sprintf("%d:%d", p.Era, p.Revision)
}

// parsePosition reads what String returned.
func parsePosition(text string) (Position, error) {
	era, revision, found := strings.Cut(text, ":")
	if !found {
		era, revision = "0", text
	}
	var p Position
	var eraErr, revisionErr error
	p.Era, eraErr = strconv.ParseUint(era, 10, 64)
	p.Revision, revisionErr = strconv.ParseUint(revision, 10, 64)
	if err := errors.Join(eraErr, revisionErr); err != nil {
		return Position{}, fmt.Errorf("edge: position %.40q: %w", text, err)
	}
	return p, nil
}
