package yamldoc

import (
	"errors"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Doc is a document that is being read, with the faults found so far.
type Doc struct {
	file   string
	faults []Fault
	// dropped counts the faults above MaxFaults.
	dropped int
}

// Node is one value of a document with its line.
type Node struct {
	doc  *Doc
	node ast.Node
	line int
}

// Parse reads a document of at most limit bytes. The file name appears in the
// faults only. If the document cannot be parsed, the returned Node is empty: its
// accessors return zero or fallback values and record no further faults.
func Parse(file string, data []byte, limit int) (*Doc, Node) {
	d := &Doc{file: file}
	if len(data) > limit {
		d.Fault(1, RuleSize, "the document has %d bytes, more than the limit of %d", len(data), limit)
		return d, Node{doc: d}
	}
	if !utf8.Valid(data) {
		d.Fault(1, RuleSyntax, "the document is not valid UTF-8")
		return d, Node{doc: d}
	}
	tokens := lexer.Tokenize(string(data))
	if line, excess := checkLimits(tokens); excess != "" {
		d.Fault(line, RuleSyntax, "%s", excess)
		return d, Node{doc: d}
	}
	return d, d.parse(tokens)
}

func (d *Doc) parse(tokens token.Tokens) Node {
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxFault(err)
		return Node{doc: d}
	}
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.Fault(lineOf(doc.Body), RuleSyntax, "more than one document in the file")
			return Node{doc: d}
		}
		body = doc.Body
	}
	if body == nil {
		d.Fault(1, RuleSyntax, "the document is empty")
	}
	return Node{doc: d, node: body, line: lineOf(body)}
}

func (d *Doc) syntaxFault(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		d.Fault(1, RuleSyntax, "%v", err)
		return
	}
	d.Fault(located.GetToken().Position.Line, RuleSyntax, "%s", located.GetMessage())
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil {
		return 1
	}
	return n.GetToken().Position.Line
}

// Line returns the line of the value.
func (n Node) Line() int { return n.line }

// Fault records a violation of a rule at the value's line.
func (n Node) Fault(rule, format string, args ...any) { n.doc.Fault(n.line, rule, format, args...) }
