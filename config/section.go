// Package config reads hollylever's own settings from a TOML file. Each package declares the table of its settings beside
// the code that uses it, and package server combines the tables. Defaults, the example file and the help texts are
// generated from the same declarations. The platform's JSON configuration with the operators' settings, which LB_CONFIG
// names, is not read here.
//
// Read returns either all values or the errors, each with its position in the file. It does not put the values in force.
package config

import (
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a field's value.
type Kind int

// The kinds of fields. Durations and sizes are written with their unit.
const (
	Option   Kind = iota // one of Field.Options
	Integer              // an integer
	Duration             // in the format of time.ParseDuration
	Size                 // bytes
	Boolean              // true or false
	Text                 // one line of text without control characters
)

// TakesEffect states when a change of a field takes effect.
type TakesEffect int

// A change takes effect either when the file is reloaded on SIGHUP or after a restart.
const (
	OnReload TakesEffect = iota
	OnRestart
)

// String returns the wording of the help texts and the example file.
func (t TakesEffect) String() string { return [...]string{"at once", "at the next start"}[t] }

// Field declares one setting. Default, Min and Max are written as in the file, but without quotes.
type Field struct {
	Name        string
	Kind        Kind
	Default     string
	Min         string   // inclusive; for Integer, Duration and Size
	Max         string   // inclusive; for Integer, Duration and Size
	MaxBytes    int      // for Text: the maximum length; 0 means defaultMaxTextBytes
	Options     []string // for Option: the allowed values
	TakesEffect TakesEffect
	Help        string // one sentence, shown in the help text and the example file
}

// Section declares one table of the file, with the settings of one package.
type Section struct {
	Table  string
	Help   string
	Fields []Field
}

// field returns the field with the given name, or nil if the table has none.
func (s *Section) field(name string) *Field {
	for n := range s.Fields {
		if s.Fields[n].Name == name {
			return &s.Fields[n]
		}
	}
	return nil
}

// fieldNames returns the names of the table's fields in the order of their declaration.
func (s *Section) fieldNames() (names []string) {
	for n := range s.Fields {
		names = append(names, s.Fields[n].Name)
	}
	return names
}

// Values holds the value of each field, from the file or else the default, by table and field ("log.level").
type Values struct {
	texts   map[string]string // values of Option and Text fields
	numbers map[string]int64  // Integer; Duration in nanoseconds; Size in bytes; Boolean as 1 or 0
}

// value is the value of one field: text for Option and Text, number for the other kinds.
type value struct {
	text   string
	number int64
}

func (v Values) set(name string, newValue value) {
	v.texts[name], v.numbers[name] = newValue.text, newValue.number
}

func (v Values) get(name string) value { return value{v.texts[name], v.numbers[name]} }

// Text returns the value of an Option or Text field.
func (v Values) Text(name string) string { return v.texts[name] }

// Integer returns the value of an Integer field, or of a Size field in bytes.
func (v Values) Integer(name string) int64 { return v.numbers[name] }

// Duration returns the value of a Duration field.
func (v Values) Duration(name string) time.Duration { return time.Duration(v.numbers[name]) }

// Boolean returns the value of a Boolean field.
func (v Values) Boolean(name string) bool { return v.numbers[name] == 1 }

// ChangedFields returns the names of the fields whose values differ and whose changes take effect at the given time, in
// the order of their declaration.
func ChangedFields(sections []Section, before, after Values, takesEffect TakesEffect) (names []string) {
	for _, section := range sections {
		for _, field := range section.Fields {
			name := section.Table + "." + field.Name
			if field.TakesEffect == takesEffect && before.get(name) != after.get(name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Defaults returns the default of each field: the values in force without a file.
func Defaults(sections []Section) Values {
	v := Values{map[string]string{}, map[string]int64{}}
	for _, section := range sections {
		for n := range section.Fields {
			field := &section.Fields[n]
			name := section.Table + "." + field.Name
			parsed, err := field.parse(field.decodedDefault())
			if err != nil {
				panic(name + ": " + err.Error()) // A bug in the declaration, which the tests find.
			}
			v.set(name, parsed)
		}
	}
	return v
}

// decodedDefault returns the default in the type that the TOML library decodes it to.
func (f *Field) decodedDefault() any {
	switch f.Kind {
	case Boolean:
		return f.Default == "true"
	case Integer:
		return f.parseBound(f.Default)
	}
	return f.Default
}

// defaultLiteral returns the default as it is written in a TOML file.
func (f *Field) defaultLiteral() string {
	if f.Kind == Boolean || f.Kind == Integer {
		return f.Default
	}
	return strconv.Quote(f.Default)
}

// describeBounds describes the values that a field accepts, for the help text and the example file.
func (f *Field) describeBounds() string {
	switch f.Kind {
	case Option:
		return "one of " + strings.Join(f.Options, ", ")
	case Boolean:
		return "either true or false"
	case Text:
		return "a text of at most " + strconv.Itoa(f.maxTextBytes()) + " bytes"
	}
	return f.Min + " to " + f.Max
}
