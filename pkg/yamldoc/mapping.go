package yamldoc

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Map is a mapping with a fixed set of keys.
type Map struct {
	Node
	values map[string]Node
}

// Map returns the value as a mapping that may have only the given keys.
func (n Node) Map(keys ...string) Map {
	m := Map{Node: n, values: map[string]Node{}}
	if n.node == nil {
		return m
	}
	entries, ok := mappingEntries(n.node)
	if !ok {
		n.Fault(RuleType, "want a mapping with the keys %s", strings.Join(keys, ", "))
		m.node = nil
		return m
	}
	for _, e := range entries {
		m.addEntry(e, keys)
	}
	return m
}

func mappingEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (m Map) addEntry(e *ast.MappingValueNode, keys []string) {
	line := lineOf(e.Key)
	key, ok := keyText(e.Key)
	if !ok {
		m.doc.Fault(line, RuleType, "a key must be plain text")
		return
	}
	if !slices.Contains(keys, key) {
		m.doc.Fault(line, RuleUnknownKey, "%q is not one of %s", key, strings.Join(keys, ", "))
		return
	}
	if first, ok := m.values[key]; ok {
		m.doc.Fault(line, RuleDuplicateKey, "%q was already set in line %d", key, first.line)
		return
	}
	m.values[key] = Node{doc: m.doc, node: e.Value, line: line}
}

func keyText(k ast.MapKeyNode) (string, bool) {
	s, ok := k.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return s.Value, true
}

// Has reports whether the key is set.
func (m Map) Has(key string) bool {
	_, ok := m.values[key]
	return ok
}

// Get returns the value of a key. It is empty when the key is missing, and its
// line is then that of the mapping.
func (m Map) Get(key string) Node {
	if n, ok := m.values[key]; ok {
		return n
	}
	return Node{doc: m.doc, line: m.line}
}

// Need returns the value of a key and records a fault when it is missing.
func (m Map) Need(key string) Node {
	if m.node != nil && !m.Has(key) {
		m.Fault(RuleMissingKey, "%q is required", key)
	}
	return m.Get(key)
}

// List returns the elements of a sequence; none for an empty Node.
func (n Node) List() []Node {
	if n.node == nil {
		return nil
	}
	seq, ok := n.node.(*ast.SequenceNode)
	if !ok {
		n.Fault(RuleType, "want a list")
		return nil
	}
	nodes := make([]Node, 0, len(seq.Values))
	for _, v := range seq.Values {
		nodes = append(nodes, Node{doc: n.doc, node: v, line: lineOf(firstTokenNode(v))})
	}
	return nodes
}

// NonEmptyList is List for a sequence that must have elements.
func (n Node) NonEmptyList() []Node {
	nodes := n.List()
	if seq, ok := n.node.(*ast.SequenceNode); ok && len(seq.Values) == 0 {
		n.Fault(RuleEmpty, "the list must not be empty")
	}
	return nodes
}

// firstTokenNode returns the node whose token comes first in n. For a mapping
// that is its first key: the token of the mapping itself is its first colon.
func firstTokenNode(n ast.Node) ast.Node {
	if entries, ok := mappingEntries(n); ok && len(entries) > 0 {
		return entries[0].Key
	}
	return n
}
