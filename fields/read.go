package fields

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"golang.org/x/sys/unix"
)

// Most is how many bytes a file may have.
const Most = 1 << 20

const mostMistakes = 20 // told of one file

// FieldError is what is wrong with a field, and where it stands.
type FieldError struct {
	File         string
	Line, Column int // from 1; 0: of the whole file
	Field, Why   string
}

func (m FieldError) Error() string {
	at := m.File
	if m.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", m.File, m.Line, m.Column)
	}
	if m.Field != "" {
		at += ": " + m.Field
	}
	return at + ": " + m.Why
}

// Standard gives the defaults: what holds without a file.
func Standard(parts []Part) Values {
	v := Values{map[string]string{}, map[string]int64{}}
	for _, p := range parts {
		for n := range p.Fields {
			f := &p.Fields[n]
			word, whole, err := f.take(f.standard())
			if err != nil {
				panic(p.Table + "." + f.Name + ": " + err.Error()) // A defect of the declaration, which tests find.
			}
			v.words[p.Table+"."+f.Name], v.whole[p.Table+"."+f.Name] = word, whole
		}
	}
	return v
}

// Whole reads a file that is one, and not too long.
func Whole(file string) ([]byte, error) {
	at, err := os.OpenFile(file, os.O_RDONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		var path *os.PathError
		if errors.As(err, &path) {
			err = path.Err // The name stands in front already.
		}
		return nil, err
	}
	defer at.Close()
	if what, err := at.Stat(); err != nil {
		return nil, err
	} else if !what.Mode().IsRegular() {
		return nil, errors.New("not a regular file")
	}
	text, err := io.ReadAll(io.LimitReader(at, Most+1))
	if err == nil && len(text) > Most {
		err = fmt.Errorf("over %d bytes", Most)
	}
	if err != nil {
		return text, err
	}
	// Guards against a file that is written over in place: half of one and half of another can be a file too.
	again, err := io.ReadAll(io.NewSectionReader(at, 0, Most+1))
	if err == nil && !bytes.Equal(text, again) {
		err = errors.New("it changed while it was read")
	}
	return text, err
}

// Read reads a file. It gives all values, or all that is wrong with it.
func Read(file string, parts []Part) (Values, []FieldError) {
	text, err := Whole(file)
	if err != nil {
		return Values{}, []FieldError{{File: file, Why: err.Error()}}
	}
	return Parse(file, text, parts)
}

// place is where a name stands in a file.
type place struct {
	name         string
	line, column int
}

// places gives each table and each field that a file names, in its order.
func places(text []byte) (tables, names []place) {
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		var first *unstable.Node
		for key := e.Key(); key.Next(); {
			if first == nil {
				first = key.Node()
			}
			path = append(path, string(key.Node().Data))
		}
		name, at := strings.Join(path, "."), p.Shape(first.Raw).Start
		if e.Kind != unstable.KeyValue {
			table = name
			tables = append(tables, place{name, at.Line, at.Column})
			continue
		}
		if table != "" {
			name = table + "." + name
		}
		names = append(names, place{name, at.Line, at.Column})
	}
	return tables, names
}

// Parse is Read of a text that is there already.
func Parse(file string, text []byte, parts []Part) (Values, []FieldError) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil { // Its form, and names that stand twice.
		m := FieldError{File: file, Why: strings.TrimPrefix(err.Error(), "toml: ")}
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			m.Line, m.Column = decode.Position()
		}
		return Values{}, []FieldError{m}
	}
	var wrong []FieldError
	tables, names := places(text)
	at := func(list []place, name string) (line, column int) {
		for _, p := range list {
			if p.name == name {
				return p.line, p.column
			}
		}
		return 0, 0
	}
	add := func(list []place, name, why string) {
		line, column := at(list, name)
		wrong = append(wrong, FieldError{file, line, column, name, why})
	}
	v := Standard(parts)
	known := map[string]*Part{}
	for n := range parts {
		known[parts[n].Table] = &parts[n]
	}
	for table, inner := range tree {
		part, is := known[table]
		fields, isTable := inner.(map[string]any)
		switch {
		case !is && isTable:
			list := tables
			if _, column := at(tables, table); column == 0 {
				list = names
				for _, p := range names { // Written with dots.
					if strings.HasPrefix(p.name, table+".") {
						list = []place{{table, p.line, p.column}}
						break
					}
				}
			}
			add(list, table, "no such table; there are "+strings.Join(tableNames(parts), ", "))
			continue
		case !is:
			add(names, table, "no such field: fields stand in a table, of "+strings.Join(tableNames(parts), ", "))
			continue
		case !isTable:
			add(append(names, tables...), table, "has to be a table")
			continue
		}
		for name, value := range fields {
			i := slices.IndexFunc(part.Fields, func(f Field) bool { return f.Name == name })
			if i < 0 {
				add(append(names, tables...), table+"."+name, "no such field; there are "+strings.Join(fieldNames(part), ", "))
				continue
			}
			word, number, err := part.Fields[i].take(value)
			if err != nil {
				add(append(names, tables...), table+"."+name, err.Error())
				continue
			}
			v.words[table+"."+name], v.whole[table+"."+name] = word, number
		}
	}
	if len(wrong) > 0 {
		slices.SortFunc(wrong, func(a, b FieldError) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return strings.Compare(a.Field, b.Field)
		})
		return Values{}, wrong[:min(len(wrong), mostMistakes)]
	}
	return v, nil
}

func tableNames(parts []Part) (names []string) {
	for _, p := range parts {
		names = append(names, p.Table)
	}
	return names
}

func fieldNames(part *Part) (names []string) {
	for _, f := range part.Fields {
		names = append(names, f.Name)
	}
	return names
}
