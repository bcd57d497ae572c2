package tables

import (
	"context"
	"reflect"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/query"
)

// ErrNoSource is returned for a table that has no source on this node.
var ErrNoSource = errors.New("this node does not keep that table")

// Source returns the rows of one table.
type Source[Row any] func(ctx context.Context) ([]Row, error)

// Registry holds the sources of a node's tables, by row type. All calls of Provide must
// come before the first use of Rows.
type Registry struct {
	sources map[reflect.Type]func(ctx context.Context) ([]query.Row, error)
}

// NewRegistry returns a Registry without sources.
func NewRegistry() *Registry {
	return &Registry{sources: make(map[reflect.Type]func(ctx context.Context) ([]query.Row, error))}
}

// Provide sets the source of the table whose row type is Row.
func Provide[Row any](r *Registry, source Source[Row]) {
	r.sources[reflect.TypeFor[Row]()] = func(ctx context.Context) ([]query.Row, error) {
		rows, err := source(ctx)
		if err != nil {
			return nil, err
		}
		out := make([]query.Row, 0, len(rows))
		for i := range rows {
			out = append(out, cellsOf(reflect.ValueOf(rows[i])))
		}
		return out, nil
	}
}

// Rows returns the rows of the table called name.
func (r *Registry) Rows(ctx context.Context, name string) ([]query.Row, error) {
	for _, d := range tableDefinitions {
		if d.name != name {
			continue
		}
		source, ok := r.sources[d.row]
		if !ok {
			return nil, errors.Wrapf(ErrNoSource, "%s", name)
		}
		return source(ctx)
	}
	return nil, errors.Newf("there is no table %q", name)
}

// cellsOf converts the fields of a row struct to cells.
func cellsOf(row reflect.Value) query.Row {
	out := make(query.Row, row.NumField())
	for i := range out {
		field := row.Field(i)
		out[i].Type = typeOf(field.Kind())
		switch field.Kind() {
		case reflect.Int:
			out[i].Number = float64(field.Int())
		case reflect.Float64:
			out[i].Number = field.Float()
		case reflect.Bool:
			out[i].Bool = field.Bool()
		default:
			out[i].Text = field.String()
		}
	}
	return out
}
