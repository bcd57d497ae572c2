package cli

import (
	"bytes"
	"encoding/json"

	"mangoledge.example/mangoledge/api/operatorapi"
)

// row is one row of a result; its JSON form is an object with the fields in column order.
type row struct {
	columns []operatorapi.Column
	cells   []string
}

// rowsOf returns the rows of a result.
func rowsOf(result *operatorapi.CommandResult) []row {
	out := make([]row, 0, len(result.Rows))
	for _, cells := range result.Rows {
		out = append(out, row{columns: result.Columns, cells: cells})
	}
	return out
}

// MarshalJSON encodes the row; numbers and booleans are not quoted.
func (r row) MarshalJSON() ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, column := range r.columns {
		if i >= len(r.cells) {
			break
		}
		if i > 0 {
			out.WriteByte(',')
		}
		name, err := json.Marshal(column.Name)
		if err != nil {
			return nil, err
		}
		value := []byte(r.cells[i])
		if column.Type == operatorapi.ColumnTypeText {
			if value, err = json.Marshal(r.cells[i]); err != nil {
				return nil, err
			}
		}
		out.Write(name)
		out.WriteByte(':')
		out.Write(value)
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}
