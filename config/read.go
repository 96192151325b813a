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

// maxErrors is how many errors are told of one file: who mends it reads the first ones.
const maxErrors = 20

// FieldError is what is wrong with a field, and where it stands.
type FieldError struct {
	File         string
	Line, Column int    // from 1; 0: of the whole file
	Field        string // table and field; empty: the file as a whole
	Reason       string
}

// Error is one line: file, place, field and what is wrong.
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

// Read reads a file. It gives all values, or all that is wrong with it.
func Read(file string, sections []Section) (Values, []FieldError) {
	content, err := ReadFile(file)
	if err != nil {
		return Values{}, []FieldError{{File: file, Reason: err.Error()}}
	}
	return Parse(file, content, sections)
}

// Parse is Read of content that is there already. file only names it in errors.
func Parse(file string, content []byte, sections []Section) (Values, []FieldError) {
	var tree map[string]any
	if err := toml.Unmarshal(content, &tree); err != nil {
		return Values{}, []FieldError{syntaxError(file, err)}
	}
	p := parser{file: file, sections: sections, values: Defaults(sections)}
	p.tables, p.fields = findKeys(content)
	for table, inner := range tree {
		p.parseTable(table, inner)
	}
	if len(p.errors) == 0 {
		return p.values, nil
	}
	slices.SortFunc(p.errors, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Field, b.Field))
	})
	return Values{}, p.errors[:min(len(p.errors), maxErrors)]
}

// syntaxError is what the TOML library says of a file's form, and of keys that stand twice.
func syntaxError(file string, err error) FieldError {
	e := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		e.Line, e.Column = decode.Position()
	}
	return e
}

// keyPlace is where a key stands in a file.
type keyPlace struct {
	name         string
	line, column int
}

// parser holds the values of a file against the declarations.
type parser struct {
	file     string
	sections []Section
	tables   []keyPlace // headers, in their order
	fields   []keyPlace // "table.field", in their order
	values   Values
	errors   []FieldError
}

// parseTable takes one key of the file's root.
func (p *parser) parseTable(table string, inner any) {
	place := slices.IndexFunc(p.sections, func(section Section) bool { return section.Table == table })
	fields, isTable := inner.(map[string]any)
	switch {
	case place < 0 && isTable:
		p.add(p.findTable(table), "no such table; there are "+p.tableNames())
	case place < 0:
		p.add(find(table, p.fields), "no such field: fields stand in a table, of "+p.tableNames())
	case !isTable:
		p.add(find(table, p.fields, p.tables), "has to be a table")
	default:
		for name, raw := range fields {
			p.parseField(&p.sections[place], name, raw)
		}
	}
}

// parseField takes one field of a known table.
func (p *parser) parseField(section *Section, name string, raw any) {
	full := section.Table + "." + name
	at := find(full, p.fields, p.tables)
	field := section.field(name)
	if field == nil {
		p.add(at, "no such field; there are "+strings.Join(section.fieldNames(), ", "))
		return
	}
	parsed, err := field.parse(raw)
	if err != nil {
		p.add(at, err.Error())
		return
	}
	p.values.set(full, parsed)
}

func (p *parser) add(at keyPlace, why string) {
	p.errors = append(p.errors, FieldError{p.file, at.line, at.column, at.name, why})
}

// findTable is where a table stands: its header, or, where it is written with dots, its first field.
func (p *parser) findTable(table string) keyPlace {
	if at := find(table, p.tables); at.column != 0 {
		return at
	}
	for _, at := range p.fields {
		if strings.HasPrefix(at.name, table+".") {
			return keyPlace{table, at.line, at.column}
		}
	}
	return find(table, p.fields)
}

// find is where a key stands, in the first list that has it; without a place if none does.
func find(name string, lists ...[]keyPlace) keyPlace {
	for _, list := range lists {
		for _, at := range list {
			if at.name == name {
				return at
			}
		}
	}
	return keyPlace{name: name}
}

func (p *parser) tableNames() string {
	names := make([]string, 0, len(p.sections))
	for _, section := range p.sections {
		names = append(names, section.Table)
	}
	return strings.Join(names, ", ")
}

// findKeys gives each table and each field that a file names, in its order.
func findKeys(content []byte) (tables, fields []keyPlace) {
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
		name, at := strings.Join(path, "."), scanner.Shape(first.Raw).Start
		if expression.Kind != unstable.KeyValue {
			table = name
			tables = append(tables, keyPlace{name, at.Line, at.Column})
			continue
		}
		if table != "" {
			name = table + "." + name
		}
		fields = append(fields, keyPlace{name, at.Line, at.Column})
	}
	return tables, fields
}
