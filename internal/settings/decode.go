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

// maxShownValue bounds the length of a value shown in a fault, in bytes.
const maxShownValue = 120

// decoder reads a JSON document into a struct and collects every fault on the way.
type decoder struct {
	faults Faults
}

// decode reads data into out, a pointer to a struct.
func (d *decoder) decode(data []byte, out any) {
	reader := json.NewDecoder(bytes.NewReader(data))
	reader.UseNumber()
	var tree any
	if err := reader.Decode(&tree); err != nil {
		d.add("", "", "is no JSON document: "+placeOf(data, err))
		return
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		d.add("", "", "has more text behind the JSON document")
	}
	for _, path := range duplicates(data) {
		d.add(path, "", "is given more than once; each key is allowed once")
	}
	d.value("", tree, reflect.ValueOf(out).Elem(), false)
}

func (d *decoder) add(path, value, allowed string) {
	d.faults = append(d.faults, Fault{Path: path, Value: value, Allowed: allowed})
}

// value puts tree into out.
func (d *decoder) value(path string, tree any, out reflect.Value, secret bool) {
	if tree == nil {
		return // null is the same as a missing setting
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, tree, out)
	case reflect.Pointer:
		fresh := reflect.New(out.Type().Elem())
		d.value(path, tree, fresh.Elem(), secret)
		out.Set(fresh)
	case reflect.Slice:
		d.list(path, tree, out, secret)
	case reflect.String:
		d.text(path, tree, out, secret)
	case reflect.Int, reflect.Int64:
		d.integer(path, tree, out, secret)
	default:
		d.add(path, shown(tree, secret), fmt.Sprintf("settings of kind %s can't be read", out.Kind()))
	}
}

func (d *decoder) object(path string, tree any, out reflect.Value) {
	object, ok := tree.(map[string]any)
	if !ok {
		d.add(path, shown(tree, true), "an object is allowed here")
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
			d.add(join(path, key), "", unknownKey(key, fields))
			continue
		}
		d.value(join(path, key), object[key], out.FieldByIndex(field.Index), field.Tag.Get(secretTag) != "")
	}
}

func (d *decoder) list(path string, tree any, out reflect.Value, secret bool) {
	list, ok := tree.([]any)
	if !ok {
		d.add(path, shown(tree, secret), "a list is allowed here")
		return
	}
	made := reflect.MakeSlice(out.Type(), len(list), len(list))
	for i, item := range list {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, made.Index(i), secret)
	}
	out.Set(made)
}

func (d *decoder) text(path string, tree any, out reflect.Value, secret bool) {
	text, ok := tree.(string)
	if !ok {
		d.add(path, shown(tree, secret), "a string is allowed here")
		return
	}
	out.SetString(text)
}

func (d *decoder) integer(path string, tree any, out reflect.Value, secret bool) {
	number, ok := tree.(json.Number)
	if !ok {
		d.add(path, shown(tree, secret), "a whole number is allowed here")
		return
	}
	n, err := number.Int64()
	if err != nil {
		d.add(path, shown(tree, secret), "a whole number is allowed here")
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// shown returns a value as JSON for a fault; nothing of a secret.
func shown(tree any, secret bool) string {
	if secret {
		return ""
	}
	data, err := json.Marshal(tree)
	if err != nil {
		return ""
	}
	if len(data) > maxShownValue {
		return string(data[:maxShownValue]) + "…"
	}
	return string(data)
}

// placeOf says what is wrong with the JSON text, and in which line.
func placeOf(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("line %d: %v", line, syntax)
}
