// Package fields reads hollylever's own settings, one TOML file. Each package declares the table of its settings beside the code that uses it, and the server
// puts the tables together. Defaults, the example file and the explanations for people are made from the same declarations. The platform's own
// configuration file is not this package's business.
//
// Read gives either all values or all errors, each with its place in the file; it changes nothing by itself.
package fields

import (
	"strconv"
	"strings"
	"time"
)

// Kind is what a field holds.
type Kind int

// The kinds. Durations and sizes are written with their unit.
const (
	Word     Kind = iota // one of a list of words
	Count                // a whole number
	Duration             // as time.ParseDuration reads it
	Size                 // bytes
	Yes                  // true or false
	Text                 // any plain text of one line
)

// When is when a change of a field takes effect.
type When int

// A change takes effect when the file is read again on SIGHUP, or at the next start.
const (
	AtOnce When = iota
	AtStart
)

// String is how explanations put it.
func (w When) String() string { return [...]string{"at once", "at the next start"}[w] }

// Field is one setting. Default, Least and Most are written as in the file.
type Field struct {
	Name    string
	Kind    Kind
	Default string
	Least   string   // inclusive; of Count, Duration and Size
	Most    string   // inclusive; of the same
	MaxText int      // of Text, in bytes; 0: defaultMaxText
	Words   []string // of Word: those allowed
	When    When
	Help    string // one sentence for people
}

// Part is what one package declares: a table of the file.
type Part struct {
	Table  string
	Help   string
	Fields []Field
}

// field gives the table's field of a name, nil if there is none.
func (p *Part) field(name string) *Field {
	for n := range p.Fields {
		if p.Fields[n].Name == name {
			return &p.Fields[n]
		}
	}
	return nil
}

// fieldNames are the names of its fields, in their order.
func (p *Part) fieldNames() (names []string) {
	for n := range p.Fields {
		names = append(names, p.Fields[n].Name)
	}
	return names
}

// Values are the settings in force, by table and field ("log.level"): the file's, or the defaults.
type Values struct {
	texts   map[string]string // of Word and Text
	numbers map[string]int64  // of Count, of Duration in nanoseconds, of Size in bytes, of Yes 1 or 0
}

// value is one field's value, in the form of its kind.
type value struct {
	text   string
	number int64
}

func (v Values) set(name string, to value) {
	v.texts[name], v.numbers[name] = to.text, to.number
}

func (v Values) get(name string) value { return value{v.texts[name], v.numbers[name]} }

// Word gives the value of a Word or Text field.
func (v Values) Word(name string) string { return v.texts[name] }

// Count gives the value of a Count field, or of a Size field in bytes.
func (v Values) Count(name string) int64 { return v.numbers[name] }

// Duration gives the value of a Duration field.
func (v Values) Duration(name string) time.Duration { return time.Duration(v.numbers[name]) }

// Yes gives the value of a Yes field.
func (v Values) Yes(name string) bool { return v.numbers[name] == 1 }

// Changed names the fields whose values differ and that take effect then, in the order of the tables.
func Changed(parts []Part, a, b Values, when When) (names []string) {
	for _, part := range parts {
		for _, field := range part.Fields {
			name := part.Table + "." + field.Name
			if field.When == when && a.get(name) != b.get(name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Standard gives the defaults: what is in force without a file.
func Standard(parts []Part) Values {
	v := Values{map[string]string{}, map[string]int64{}}
	for _, part := range parts {
		for n := range part.Fields {
			field := &part.Fields[n]
			name := part.Table + "." + field.Name
			standard, err := field.parse(field.tomlDefault())
			if err != nil {
				panic(name + ": " + err.Error()) // A defect of the declaration, which tests find.
			}
			v.set(name, standard)
		}
	}
	return v
}

// tomlDefault is the default as the TOML library would give it.
func (f *Field) tomlDefault() any {
	switch f.Kind {
	case Yes:
		return f.Default == "true"
	case Count:
		return f.bound(f.Default)
	}
	return f.Default
}

// writtenDefault is the default as the file has it.
func (f *Field) writtenDefault() string {
	if f.Kind == Yes || f.Kind == Count {
		return f.Default
	}
	return strconv.Quote(f.Default)
}

// describeBounds tells people what a field may hold.
func (f *Field) describeBounds() string {
	switch f.Kind {
	case Word:
		return "one of " + strings.Join(f.Words, ", ")
	case Yes:
		return "either true or false"
	case Text:
		return "a text of at most " + strconv.Itoa(f.maxText()) + " bytes"
	}
	return f.Least + " to " + f.Most
}
