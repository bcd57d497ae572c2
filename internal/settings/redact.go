package settings

import (
	"log/slog"
	"reflect"
)

// hidden stands in the place of a secret.
const hidden = "(hidden)"

// Redacted returns a copy in which every secret is replaced, for dumps and logs.
func (s *Settings) Redacted() Settings {
	out := *s
	out.Tokens = append([]Token(nil), s.Tokens...)
	hide(reflect.ValueOf(&out).Elem())
	return out
}

// LogValue makes logs show the redacted copy.
func (s *Settings) LogValue() slog.Value {
	return slog.AnyValue(s.Redacted())
}

// hide replaces the strings whose field is tagged as secret.
func hide(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Field(i)
			if v.Type().Field(i).Tag.Get(secretTag) != "" && field.String() != "" {
				field.SetString(hidden)
				continue
			}
			hide(field)
		}
	case reflect.Slice:
		for i := range v.Len() {
			hide(v.Index(i))
		}
	default:
	}
}
