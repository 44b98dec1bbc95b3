package contract

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"dotterelgw/core/ids"
)

// Default values of optional keys.
const (
	defaultWeight         = 1
	defaultConnections    = 500
	defaultTransactions   = 2
	defaultQueue          = 200
	defaultQueueTimeoutMS = 2000
)

// localTimeLocations are the location names that the TOML library gives to dates and times without an offset.
var localTimeLocations = []string{"datetime-local", "date-local", "time-local"}

// Parse parses a contract, applies the default values and validates the result. The error has the type
// Violations and holds every violation in the text. After a syntax error, it holds only that error.
func Parse(file string, text []byte) (*Contract, error) {
	values := map[string]any{}
	if _, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&values); err != nil {
		return nil, Violations{syntaxViolation(file, text, err)}
	}
	contract := &Contract{Weight: defaultWeight, Limits: Limits{
		Connections: defaultConnections, Transactions: defaultTransactions,
		Queue: defaultQueue, QueueTimeoutMS: defaultQueueTimeoutMS,
	}}
	decoder := &decoder{}
	decoder.decodeTable("", values, reflect.ValueOf(contract).Elem())
	contract.applyDefaults()
	violations := decoder.violations
	for _, violation := range contract.check() {
		if !decoder.hasViolation(violation.Key) {
			violations = append(violations, violation)
		}
	}
	if len(violations) == 0 {
		return contract, nil
	}
	for i := range violations {
		violations[i].File = file
	}
	return nil, violations
}

// Format encodes the contract in TOML. Parse decodes the result to an equal contract.
func Format(contract *Contract) ([]byte, error) {
	var text bytes.Buffer
	encoder := toml.NewEncoder(&text)
	encoder.Indent = ""
	if err := encoder.Encode(contract); err != nil {
		return nil, fmt.Errorf("format contract of %s: %w", contract.Organisation, err)
	}
	return text.Bytes(), nil
}

func (contract *Contract) applyDefaults() {
	for i := range contract.Routes {
		route := &contract.Routes[i]
		if route.Access == "" {
			route.Access = ReadWrite
		}
		if route.Database == "" {
			route.Database = ids.DatabaseName(contract.Organisation)
		}
	}
}

func syntaxViolation(file string, text []byte, err error) Violation {
	violation := Violation{File: file, Rule: "the text must be valid TOML"}
	var parseError toml.ParseError
	if !errors.As(err, &parseError) {
		return violation
	}
	violation.Line, violation.Key = parseError.Position.Line, parseError.LastKey
	lines := strings.Split(string(text), "\n")
	// The library's message may quote the text, so it is left out for a line that may contain a verifier.
	mayQuoteVerifier := strings.Contains(parseError.LastKey, "verifier")
	if line := parseError.Position.Line; line >= 1 && line <= len(lines) {
		mayQuoteVerifier = mayQuoteVerifier || strings.Contains(lines[line-1], "verifier") || strings.Contains(lines[line-1], "SCRAM")
	}
	if !mayQuoteVerifier {
		violation.Rule += ": " + parseError.Message
	}
	return violation
}

// decoder copies decoded TOML values into a contract and collects the violations. The library's own decoding into a struct
// stops at the first value of a wrong type.
type decoder struct {
	violations Violations
}

func (decoder *decoder) decodeTable(path string, values map[string]any, target reflect.Value) {
	known := map[string]bool{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("toml"), ",")
		known[name] = true
		if value, ok := values[name]; ok {
			decoder.decodeValue(path+name, value, target.Field(i))
		}
	}
	for name, value := range values {
		if !known[name] {
			decoder.addViolation(path+name, value, "the key is not known")
		}
	}
}

func (decoder *decoder) decodeValue(path string, value any, target reflect.Value) {
	source := reflect.ValueOf(value)
	instant, isTime := value.(time.Time)
	switch {
	case target.Type() == reflect.TypeFor[time.Time]():
		if !isTime || slices.Contains(localTimeLocations, instant.Location().String()) {
			decoder.addViolation(path, value, "the value must be a date and time with offset")
			return
		}
		target.Set(source)
	case source.Type() == target.Type():
		target.Set(source)
	case target.Kind() == reflect.String && source.Kind() == reflect.String:
		target.SetString(source.String())
	case target.Kind() == reflect.Float64 && source.Kind() == reflect.Int64:
		target.SetFloat(float64(source.Int()))
	case target.Kind() == reflect.Int && source.Kind() == reflect.Int64:
		target.SetInt(source.Int())
	case target.Kind() == reflect.Struct && source.Kind() == reflect.Map:
		decoder.decodeTable(path+".", value.(map[string]any), target)
	case target.Kind() == reflect.Slice && source.Kind() == reflect.Slice:
		decoder.decodeArray(path, source, target)
	default:
		decoder.addViolation(path, value, "the value must be "+kindName(target))
	}
}

func (decoder *decoder) decodeArray(path string, source, target reflect.Value) {
	target.Set(reflect.MakeSlice(target.Type(), source.Len(), source.Len()))
	for i := range source.Len() {
		decoder.decodeValue(fmt.Sprintf("%s[%d]", path, i), source.Index(i).Interface(), target.Index(i))
	}
}

func (decoder *decoder) addViolation(path string, value any, rule string) {
	decoder.violations = append(decoder.violations, Violation{Key: path, Value: displayValue(path, value), Rule: rule})
}

// hasViolation reports whether the key or one of its parents already has a violation. Such a key keeps its zero value in the
// contract, which must not be reported as well.
func (decoder *decoder) hasViolation(key string) bool {
	for _, violation := range decoder.violations {
		if violation.Key == key || strings.HasPrefix(key, violation.Key+".") || strings.HasPrefix(key, violation.Key+"[") {
			return true
		}
	}
	return false
}

func kindName(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	case reflect.Int:
		return "an integer"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "an array of tables"
	default:
		return "a table"
	}
}
