package yamldoc

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

const (
	// maxDepth bounds the nesting of a document, because the YAML parser
	// recurses and 1 MB of opening brackets would exhaust the stack.
	maxDepth = 32
	// maxKeys bounds the keys of one mapping, because the YAML parser's time
	// grows with the square of their number: 70 s for 190,000 keys.
	maxKeys = 64
	// maxIndent bounds the indentation in columns.
	maxIndent = 8 * maxDepth
)

// openMapping counts the keys of a mapping that has not ended. Mappings in flow
// style are told apart by their depth, those in block style by the column of
// their keys.
type openMapping struct{ column, keys int }

// limiter checks tokens against the limits before they are parsed. It also
// refuses parts of YAML that settings and bundles do not need, because with them
// a short document can take minutes to parse or expand to a very long one.
type limiter struct {
	line    int
	entries int // "-" indicators in the line; block nesting without them needs indentation
	flow    []openMapping
	block   []openMapping
}

// checkLimits returns the line and a description of the first violation; both
// are zero if there is none.
func checkLimits(tokens token.Tokens) (line int, excess string) {
	var l limiter
	for i, t := range tokens {
		column := t.Position.Column
		if i > 0 {
			column = tokens[i-1].Position.Column
		}
		if excess := l.checkToken(t, column); excess != "" {
			return t.Position.Line, excess
		}
	}
	return 0, ""
}

// checkToken describes what the next token violates, or returns "". keyColumn is
// the column of the token before it, which is the key if t is a colon.
func (l *limiter) checkToken(t *token.Token, keyColumn int) string {
	if t.Position.Line != l.line {
		l.line, l.entries = t.Position.Line, 0
	}
	keys := 0
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		l.flow = append(l.flow, openMapping{})
	case token.SequenceEndType, token.MappingEndType:
		l.flow = l.flow[:max(len(l.flow)-1, 0)]
	case token.SequenceEntryType:
		l.entries++
		l.closeBlocks(t.Position.Column)
	case token.MappingKeyType, token.TagType, token.AnchorType, token.AliasType, token.MergeKeyType, token.DirectiveType:
		return fmt.Sprintf("%q: explicit keys, tags, anchors, aliases and directives are not supported", t.Value)
	case token.MappingValueType:
		keys = l.countKey(keyColumn)
	}
	switch {
	case len(l.flow) > maxDepth || l.entries > maxDepth || t.Position.IndentNum > maxIndent:
		return fmt.Sprintf("nested deeper than %d levels", maxDepth)
	case keys > maxKeys:
		return fmt.Sprintf("more than %d keys in one mapping", maxKeys)
	}
	return ""
}

func (l *limiter) countKey(column int) int {
	if n := len(l.flow); n > 0 {
		l.flow[n-1].keys++
		return l.flow[n-1].keys
	}
	l.closeBlocks(column)
	if n := len(l.block); n == 0 || l.block[n-1].column < column {
		l.block = append(l.block, openMapping{column: column})
	}
	top := &l.block[len(l.block)-1]
	top.keys++
	return top.keys
}

// closeBlocks removes the block mappings whose keys are right of the column.
func (l *limiter) closeBlocks(column int) {
	for n := len(l.block); n > 0 && l.block[n-1].column > column; n-- {
		l.block = l.block[:n-1]
	}
}
