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

// Defaults for keys that a contract leaves out.
const (
	defaultWeight         = 1
	defaultConnections    = 500
	defaultTransactions   = 2
	defaultQueue          = 200
	defaultQueueTimeoutMS = 2000
)

// localTimes are the locations by which the library marks dates and times without offset.
var localTimes = []string{"datetime-local", "date-local", "time-local"}

// Parse reads a contract, fills in defaults and validates it. The error is a Faults with every fault of the text; a
// syntax error hides the faults behind it.
func Parse(file string, text []byte) (*Contract, error) {
	values := map[string]any{}
	if _, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&values); err != nil {
		return nil, Faults{syntaxFault(file, text, err)}
	}
	contract := &Contract{Weight: defaultWeight, Limits: Limits{
		Connections: defaultConnections, Transactions: defaultTransactions,
		Queue: defaultQueue, QueueTimeoutMS: defaultQueueTimeoutMS,
	}}
	reader := &reader{}
	reader.table("", values, reflect.ValueOf(contract).Elem())
	contract.fillIn()
	faults := reader.faults
	for _, fault := range contract.check() {
		if !reader.reported(fault.Key) {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		return contract, nil
	}
	for i := range faults {
		faults[i].File = file
	}
	return nil, faults
}

// Format returns the contract's TOML, which Parse reads back to an equal contract.
func Format(contract *Contract) ([]byte, error) {
	var text bytes.Buffer
	encoder := toml.NewEncoder(&text)
	encoder.Indent = ""
	if err := encoder.Encode(contract); err != nil {
		return nil, fmt.Errorf("format contract of %s: %w", contract.Organisation, err)
	}
	return text.Bytes(), nil
}

func (contract *Contract) fillIn() {
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

func syntaxFault(file string, text []byte, err error) Fault {
	fault := Fault{File: file, Rule: "the text must be valid TOML"}
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return fault
	}
	fault.Line, fault.Key = parse.Position.Line, parse.LastKey
	lines := strings.Split(string(text), "\n")
	// The library's message may quote the text, which must not happen for a line that may hold a verifier.
	inVerifier := strings.Contains(parse.LastKey, "verifier")
	if line := parse.Position.Line; line >= 1 && line <= len(lines) {
		inVerifier = inVerifier || strings.Contains(lines[line-1], "verifier") || strings.Contains(lines[line-1], "SCRAM")
	}
	if !inVerifier {
		fault.Rule += ": " + parse.Message
	}
	return fault
}

// reader copies decoded values into a contract and collects faults, because the library's own decoding into a struct
// stops at the first value of a wrong type.
type reader struct {
	faults Faults
}

func (reader *reader) table(path string, values map[string]any, target reflect.Value) {
	known := map[string]bool{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("toml"), ",")
		known[name] = true
		if value, ok := values[name]; ok {
			reader.value(path+name, value, target.Field(i))
		}
	}
	for name, value := range values {
		if !known[name] {
			reader.fault(path+name, value, "the key is not known")
		}
	}
}

func (reader *reader) value(path string, value any, target reflect.Value) {
	source := reflect.ValueOf(value)
	instant, isTime := value.(time.Time)
	switch {
	case target.Type() == reflect.TypeFor[time.Time]():
		if !isTime || slices.Contains(localTimes, instant.Location().String()) {
			reader.fault(path, value, "the value must be a date and time with offset")
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
		reader.table(path+".", value.(map[string]any), target)
	case target.Kind() == reflect.Slice && source.Kind() == reflect.Slice:
		reader.list(path, source, target)
	default:
		reader.fault(path, value, "the value must be "+kindName(target))
	}
}

func (reader *reader) list(path string, source, target reflect.Value) {
	target.Set(reflect.MakeSlice(target.Type(), source.Len(), source.Len()))
	for i := range source.Len() {
		reader.value(fmt.Sprintf("%s[%d]", path, i), source.Index(i).Interface(), target.Index(i))
	}
}

func (reader *reader) fault(path string, value any, rule string) {
	reader.faults = append(reader.faults, Fault{Key: path, Value: show(path, value), Rule: rule})
}

// reported states whether the key has a fault already, so that its zero value is not reported again.
func (reader *reader) reported(key string) bool {
	for _, fault := range reader.faults {
		if fault.Key == key || strings.HasPrefix(key, fault.Key+".") || strings.HasPrefix(key, fault.Key+"[") {
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
