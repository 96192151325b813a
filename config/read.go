package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxErrors limits the errors reported for one file: whoever corrects the file reads only the first ones.
const maxErrors = 20

// FieldError is an error in a file, with its position and the field if they are known.
type FieldError struct {
	File         string
	Line, Column int    // counted from 1; a Line of 0 means the whole file
	Field        string // "table.field" or the table; empty means the whole file
	Reason       string
}

// Error returns one line with the file, position, field and reason.
func (e FieldError) Error() string {
	text := e.File
	if e.Line > 0 {
		text = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Field != "" {
		text += ": " + e.Field
	}
	return text + ": " + e.Reason
}

// Read reads a file. It returns either all values or the first maxErrors errors.
func Read(file string, sections []Section) (Values, []FieldError) {
	content, err := ReadFile(file)
	if err != nil {
		return Values{}, []FieldError{{File: file, Reason: err.Error()}}
	}
	return Parse(file, content, sections)
}

// Parse is like Read, for content that has already been read. The file name is used only in errors.
func Parse(file string, content []byte, sections []Section) (Values, []FieldError) {
	var document map[string]any
	if err := toml.Unmarshal(content, &document); err != nil {
		return Values{}, []FieldError{syntaxError(file, err)}
	}
	p := parser{file: file, sections: sections, values: Defaults(sections)}
	p.tablePositions, p.fieldPositions = findKeyPositions(content)
	for table, raw := range document {
		p.parseTable(table, raw)
	}
	if len(p.errors) == 0 {
		return p.values, nil
	}
	slices.SortFunc(p.errors, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Field, b.Field))
	})
	return Values{}, p.errors[:min(len(p.errors), maxErrors)]
}

// syntaxError converts an error of the TOML library: invalid syntax or a duplicate key.
func syntaxError(file string, err error) FieldError {
	e := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		e.Line, e.Column = decode.Position()
	}
	return e
}

// keyPosition is the position of a key in a file.
type keyPosition struct {
	name         string
	line, column int
}

// parser checks the values of a file against the declarations.
type parser struct {
	file           string
	sections       []Section
	tablePositions []keyPosition // of table headers, in the order of the file
	fieldPositions []keyPosition // of "table.field", in the order of the file
	values         Values
	errors         []FieldError
}

// parseTable parses one top-level key of the file, which has to be a table.
func (p *parser) parseTable(table string, rawTable any) {
	index := slices.IndexFunc(p.sections, func(section Section) bool { return section.Table == table })
	fields, isTable := rawTable.(map[string]any)
	switch {
	case index < 0 && isTable:
		p.addError(p.findTablePosition(table), "no such table; there are "+p.tableNames())
	case index < 0:
		p.addError(findPosition(table, p.fieldPositions), "no such field: a field has to be in one of the tables "+p.tableNames())
	case !isTable:
		p.addError(findPosition(table, p.fieldPositions, p.tablePositions), "has to be a table")
	default:
		for name, raw := range fields {
			p.parseField(&p.sections[index], name, raw)
		}
	}
}

// parseField parses one field of a declared table.
func (p *parser) parseField(section *Section, name string, raw any) {
	fullName := section.Table + "." + name
	position := findPosition(fullName, p.fieldPositions, p.tablePositions)
	field := section.field(name)
	if field == nil {
		p.addError(position, "no such field; there are "+strings.Join(section.fieldNames(), ", "))
		return
	}
	parsed, err := field.parse(raw)
	if err != nil {
		p.addError(position, err.Error())
		return
	}
	p.values.set(fullName, parsed)
}

func (p *parser) addError(position keyPosition, reason string) {
	p.errors = append(p.errors, FieldError{p.file, position.line, position.column, position.name, reason})
}

// findTablePosition returns the position of a table: of its header, else of its first dotted key, else of the key whose
// value is the table.
func (p *parser) findTablePosition(table string) keyPosition {
	if position := findPosition(table, p.tablePositions); position.column != 0 {
		return position
	}
	for _, position := range p.fieldPositions {
		if strings.HasPrefix(position.name, table+".") {
			return keyPosition{table, position.line, position.column}
		}
	}
	return findPosition(table, p.fieldPositions)
}

// findPosition returns the position of a key from the first list that has it, or one without line and column if none
// does.
func findPosition(name string, lists ...[]keyPosition) keyPosition {
	for _, list := range lists {
		for _, position := range list {
			if position.name == name {
				return position
			}
		}
	}
	return keyPosition{name: name}
}

func (p *parser) tableNames() string {
	names := make([]string, 0, len(p.sections))
	for _, section := range p.sections {
		names = append(names, section.Table)
	}
	return strings.Join(names, ", ")
}

// findKeyPositions returns the positions of all table headers and fields, in the order of the file.
func findKeyPositions(content []byte) (tables, fields []keyPosition) {
	var scanner unstable.Parser
	scanner.Reset(content)
	table := ""
	for scanner.NextExpression() {
		expression := scanner.Expression()
		var path []string
		var first *unstable.Node
		for key := expression.Key(); key.Next(); {
			if first == nil {
				first = key.Node()
			}
			path = append(path, string(key.Node().Data))
		}
		name, start := strings.Join(path, "."), scanner.Shape(first.Raw).Start
		if expression.Kind != unstable.KeyValue {
			table = name
			tables = append(tables, keyPosition{name, start.Line, start.Column})
			continue
		}
		if table != "" {
			name = table + "." + name
		}
		fields = append(fields, keyPosition{name, start.Line, start.Column})
	}
	return tables, fields
}
