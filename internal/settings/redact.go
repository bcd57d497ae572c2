package settings

import (
	"log/slog"
	"reflect"
)

// redactedText replaces secrets in dumps and logs.
const redactedText = "(hidden)"

// Redacted returns a copy for dumps and logs in which all secrets are replaced.
func (s *Settings) Redacted() Settings {
	out := *s
	out.Tokens = append([]Token(nil), s.Tokens...)
	redactSecrets(reflect.ValueOf(&out).Elem())
	return out
}

// LogValue implements slog.LogValuer, so that logs contain the redacted copy.
func (s *Settings) LogValue() slog.Value {
	return slog.AnyValue(s.Redacted())
}

// redactSecrets replaces the non-empty strings in v whose field is tagged as secret.
func redactSecrets(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Field(i)
			if v.Type().Field(i).Tag.Get(secretTag) != "" && field.String() != "" {
				field.SetString(redactedText)
				continue
			}
			redactSecrets(field)
		}
	case reflect.Slice:
		for i := range v.Len() {
			redactSecrets(v.Index(i))
		}
	default:
	}
}
