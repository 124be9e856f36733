package check

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDepth is the maximum depth, in arrays and tables, of the values that are
// indexed.
const maxDepth = 16

// entry is a key of the file with its line and the text of its value.
type entry struct {
	key  string
	line int
	text string
}

func (e entry) isArrayOrElement() bool {
	return strings.HasSuffix(e.key, "]") || strings.HasPrefix(e.text, "[")
}

// indexer finds the line of every key. In its keys, the elements of an array are
// counted from 0.
type indexer struct {
	parser unstable.Parser
	// newlines are the offsets of the line feeds, in increasing order.
	newlines []int
	// tableCounts maps each array of tables to its number of tables so far.
	tableCounts map[string]int
	entries     []entry
}

// indexEntries returns the entries of text in file order, up to the first syntax
// error.
func indexEntries(text []byte) []entry {
	ix := &indexer{tableCounts: make(map[string]int)}
	for offset, b := range text {
		if b == '\n' {
			ix.newlines = append(ix.newlines, offset)
		}
	}
	ix.parser.Reset(text)
	prefix := ""
	for ix.parser.NextExpression() {
		node := ix.parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = ix.addTable(node)
		case unstable.KeyValue:
			ix.addKeyValue(prefix, node)
		}
	}
	return ix.entries
}

// addTable records the header of a table and returns the path of the table.
func (ix *indexer) addTable(node *unstable.Node) string {
	path, raw := "", unstable.Range{}
	parts := node.Key()
	for parts.Next() {
		path = ix.tablePath(path, string(parts.Node().Data), node.Kind == unstable.ArrayTable && parts.IsLast())
		raw = parts.Node().Raw
	}
	ix.add(path, raw.Offset, "")
	return path
}

// tablePath returns the path of the table named part in the table at path. For an
// array of tables, it returns the path of the last table in the array. If isNew is
// true, it first adds a table to the array.
func (ix *indexer) tablePath(path, part string, isNew bool) string {
	path = join(path, escapePart(part))
	if isNew {
		ix.tableCounts[path]++
	}
	if count := ix.tableCounts[path]; count > 0 {
		return fmt.Sprintf("%s[%d]", path, count-1)
	}
	return path
}

func (ix *indexer) addKeyValue(prefix string, node *unstable.Node) {
	path, lastPart := prefix, unstable.Range{}
	parts := node.Key()
	for parts.Next() {
		path = join(path, escapePart(string(parts.Node().Data)))
		lastPart = parts.Node().Raw
	}
	end := node.Raw.Offset + node.Raw.Length
	text := ix.parser.Raw(unstable.Range{Offset: lastPart.Offset + lastPart.Length, Length: end - lastPart.Offset - lastPart.Length})
	_, value, _ := bytes.Cut(text, []byte("="))
	ix.add(path, lastPart.Offset, string(bytes.TrimSpace(value)))
	ix.addNested(path, lastPart.Offset, node.Value())
}

// addNested records the entries in node if it is an array or an inline table.
// offset is the last known offset; it is recorded for values for which the parser
// reports no offset.
// Values nested deeper than maxDepth are left out: no schema is that deep, and paths
// grow with the depth.
func (ix *indexer) addNested(path string, offset uint32, node *unstable.Node) {
	if strings.Count(path, "[")+strings.Count(path, ".") > maxDepth {
		return
	}
	switch node.Kind {
	case unstable.Array:
		ix.addArray(path, offset, node)
	case unstable.InlineTable:
		fields := node.Children()
		for fields.Next() {
			ix.addKeyValue(path, fields.Node())
		}
	}
}

func (ix *indexer) addArray(path string, offset uint32, node *unstable.Node) {
	elements := node.Children()
	for i := 0; elements.Next(); i++ {
		element := elements.Node()
		if element.Raw.Length > 0 {
			offset = element.Raw.Offset
		}
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		ix.add(elementPath, offset, string(ix.parser.Raw(element.Raw)))
		ix.addNested(elementPath, offset, element)
	}
}

func (ix *indexer) add(path string, offset uint32, text string) {
	line := 1 + sort.SearchInts(ix.newlines, int(offset))
	ix.entries = append(ix.entries, entry{key: path, line: line, text: text})
}

// escapePart replaces the characters '.', '[' and ']' of a quoted key with '?',
// since they separate the parts of a path.
func escapePart(part string) string {
	return strings.NewReplacer(".", "?", "[", "?", "]", "?").Replace(part)
}

func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// parent returns the path of the table or array around path, or "".
func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}
