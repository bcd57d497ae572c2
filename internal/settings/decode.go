package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// secretTag marks fields whose value appears in no fault, log or dump.
const secretTag = "secret"

// maxValueBytes bounds the length of a value in a fault, in bytes.
const maxValueBytes = 120

// decoder decodes a JSON document into a struct and collects all faults.
type decoder struct {
	faults Faults
}

// Decode decodes a JSON document into out, a pointer to a struct, and returns all faults found: keys
// that are unknown or given twice, and values of another type.
func Decode(data []byte, out any) Faults {
	d := new(decoder)
	d.decode(data, out)
	return d.faults
}

// decode decodes data into out, a pointer to a struct.
func (d *decoder) decode(data []byte, out any) {
	jsonDecoder := json.NewDecoder(bytes.NewReader(data))
	jsonDecoder.UseNumber()
	var document any
	if err := jsonDecoder.Decode(&document); err != nil {
		d.addFault("", "", "is no JSON document: "+describeJSONError(data, err))
		return
	}
	if _, err := jsonDecoder.Token(); !errors.Is(err, io.EOF) {
		d.addFault("", "", "has more text behind the JSON document")
	}
	for _, path := range duplicateKeys(data) {
		d.addFault(path, "", "is given more than once; each key is allowed once")
	}
	d.decodeValue("", document, reflect.ValueOf(out).Elem(), false)
}

func (d *decoder) addFault(path, value, allowed string) {
	d.faults = append(d.faults, Fault{Path: path, Value: value, Allowed: allowed})
}

// decodeValue stores value, as decoded by encoding/json, in out. secret is true for fields tagged as secret.
func (d *decoder) decodeValue(path string, value any, out reflect.Value, secret bool) {
	if value == nil {
		return // null means the same as a missing setting
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeObject(path, value, out)
	case reflect.Pointer:
		target := reflect.New(out.Type().Elem())
		d.decodeValue(path, value, target.Elem(), secret)
		out.Set(target)
	case reflect.Slice:
		d.decodeList(path, value, out, secret)
	case reflect.String:
		d.decodeString(path, value, out, secret)
	case reflect.Int, reflect.Int64:
		d.decodeInteger(path, value, out, secret)
	default:
		d.addFault(path, formatValue(value, secret), fmt.Sprintf("settings of kind %s can't be read", out.Kind()))
	}
}

func (d *decoder) decodeObject(path string, value any, out reflect.Value) {
	object, ok := value.(map[string]any)
	if !ok {
		d.addFault(path, formatValue(value, true), "an object is allowed here")
		return
	}
	fields := fieldsOf(out.Type())
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		field, known := fields[key]
		if !known {
			d.addFault(joinPath(path, key), "", unknownKeyMessage(key, fields))
			continue
		}
		d.decodeValue(joinPath(path, key), object[key], out.FieldByIndex(field.Index), field.Tag.Get(secretTag) != "")
	}
}

func (d *decoder) decodeList(path string, value any, out reflect.Value, secret bool) {
	list, ok := value.([]any)
	if !ok {
		d.addFault(path, formatValue(value, secret), "a list is allowed here")
		return
	}
	slice := reflect.MakeSlice(out.Type(), len(list), len(list))
	for i, item := range list {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, slice.Index(i), secret)
	}
	out.Set(slice)
}

func (d *decoder) decodeString(path string, value any, out reflect.Value, secret bool) {
	text, ok := value.(string)
	if !ok {
		d.addFault(path, formatValue(value, secret), "a string is allowed here")
		return
	}
	out.SetString(text)
}

func (d *decoder) decodeInteger(path string, value any, out reflect.Value, secret bool) {
	number, ok := value.(json.Number)
	if !ok {
		d.addFault(path, formatValue(value, secret), "a whole number is allowed here")
		return
	}
	n, err := number.Int64()
	if err != nil {
		d.addFault(path, formatValue(value, secret), "a whole number is allowed here")
		return
	}
	out.SetInt(n)
}

// fieldsOf returns the fields of a struct by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	out := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		out[name] = field
	}
	return out
}

// joinPath returns the path of key in the object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// formatValue returns a value as JSON for a fault, cut after maxValueBytes; empty for a secret.
func formatValue(value any, secret bool) string {
	if secret {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	if len(data) > maxValueBytes {
		return string(data[:maxValueBytes]) + "…"
	}
	return string(data)
}

// describeJSONError returns the text of a JSON decoding error, with the line number of a syntax error.
func describeJSONError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("line %d: %v", line, syntax)
}
