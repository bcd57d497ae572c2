package query

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

var testSchema = Schema{
	Tables: []Table{{Name: "upstreams", Columns: []Column{
		{Name: "id", Type: TypeText, Doc: "its name"},
		{Name: "slots", Type: TypeNumber, Doc: "requests at once"},
		{Name: "reclaimable", Type: TypeBool, Doc: "may be taken"},
	}}, {Name: "nodes", Columns: []Column{{Name: "node", Type: TypeText}}}},
	Objects: []Object{{Name: "model", Removable: true, Keys: []Column{
		{Name: "replicas", Type: TypeNumber, Doc: "replicas wanted"},
		{Name: "adapters", Type: TypeList},
	}}},
}

var testRows = []Row{
	upstreamRow("u1", 4, true),
	upstreamRow("u2", 8, false),
	upstreamRow("u3", 8, true),
}

func upstreamRow(id string, slots float64, reclaimable bool) Row {
	return Row{{Type: TypeText, Text: id}, {Type: TypeNumber, Number: slots}, {Type: TypeBool, Bool: reclaimable}}
}

func TestShowSelectsSortsAndLimits(t *testing.T) {
	for text, want := range map[string]string{
		`show upstreams`:                                             "u1 u2 u3",
		`show upstreams where slots > 4`:                             "u2 u3",
		`show upstreams where slots>=4 and reclaimable=true`:         "u1 u3",
		`show upstreams where reclaimable != true`:                   "u2",
		`show upstreams where id ~ "U" sort by slots desc limit 2`:   "u2 u3",
		`show upstreams where id = "u1"`:                             "u1",
		`show upstreams where id < u2`:                               "u1",
		`show upstreams sort by id desc limit 1`:                     "u3",
		`show upstreams where slots <= 8 and slots < 5 sort by id`:   "u1",
		`  show   upstreams   sort by reclaimable asc   limit 100  `: "u2 u1 u3",
	} {
		command, err := Parse(text, testSchema)
		require.NoError(t, err, text)
		var ids []string
		for _, row := range Select(command.Show, &testSchema.Tables[0], testRows) {
			ids = append(ids, row[0].String())
		}
		require.Equal(t, want, strings.Join(ids, " "), text)
	}
}

func TestParseOtherCommands(t *testing.T) {
	command, err := Parse(`set model "big one" replicas=3 adapters=a,b`, testSchema)
	require.NoError(t, err)
	require.True(t, command.Changes())
	require.Equal(t, "big one", command.Set.Name.Text)
	require.Equal(t, "a,b", command.Set.Fields[1].Value.Text)

	command, err = Parse("explain request n1_0123456789abcdef.n2_0123456789abcdef.aaaaaaaaaaaaaaaa", testSchema)
	require.NoError(t, err)
	require.False(t, command.Changes())
	require.Equal(t, "request", command.Explain.Kind.Text)

	command, err = Parse("drain host h-1", testSchema)
	require.NoError(t, err)
	require.Equal(t, "h-1", command.Drain.ID.Text)

	command, err = Parse("clear poison p1", testSchema)
	require.NoError(t, err)
	require.Equal(t, "p1", command.Clear.ID.Text)

	command, err = Parse("dump", testSchema)
	require.NoError(t, err)
	require.True(t, command.Dump)
}

func TestErrorsNameTheColumnAndWhatWasExpected(t *testing.T) {
	for _, c := range []struct {
		text, found, expected string
		column                int
	}{
		{``, "", "show, explain, set, drain, clear or dump", 1},
		{`  shwo nodes`, "shwo", "show, explain, set, drain, clear or dump", 3},
		{`show`, "", "upstreams or nodes", 5},
		{`explain`, "", "request, upstream, host, model or change", 8},
		{`show upstreams sort by`, "", "id, slots or reclaimable", 23},
		{`show hosts`, "hosts", "a table: upstreams or nodes", 6},
		{`show upstreams were id = u1`, "were", "the end of the command", 16},
		{`show upstreams where`, "", "a condition such as state = ready", 21},
		{`show upstreams where slot > 4`, "slot", "a column of upstreams: id, slots or reclaimable", 22},
		{`show upstreams where slots 4`, "4", "one of = != < <= > >= ~", 28},
		{`show upstreams where slots > many`, "many", "a number, since slots is requests at once", 30},
		{`show upstreams where slots ~ 4`, "~", "= != < <= > or >=, since slots is a number", 28},
		{`show upstreams where reclaimable > true`, ">", "= or !=, since reclaimable is true or false", 34},
		{`show upstreams where reclaimable = yes`, "yes", "true or false", 36},
		{`show upstreams sort id`, "id", "by and a column", 21},
		{`show upstreams sort by weight`, "weight", "a column of upstreams: id, slots or reclaimable", 24},
		{`show upstreams limit 0`, "0", "a whole number from 1 up", 22},
		{`show upstreams where id = "u1`, `"u1`, `a word, a "quoted string" or one of = != < <= > >= ~`, 27},
		{`explain kind m`, "kind", "request, upstream, host, model or change", 9},
		{`explain request`, "", "a word", 16},
		{`set model m`, "", "key=value", 12},
		{`set modell m a=1`, "modell", "an object: model", 5},
		{`set model m size=1`, "size", "a key of model: replicas or adapters", 13},
		{`set model m replicas=x`, "x", "a number, since replicas is replicas wanted", 22},
		{`set model m replicas=1 replicas=2`, "replicas", "each key once", 24},
		{`drain rack r`, "rack", "host, node or upstream", 7},
		{`clear cache c`, "cache", "poison, leaving, drain or model", 7},
		{`dump all`, "all", "the end of the command", 6},
	} {
		_, err := Parse(c.text, testSchema)
		var got *Error
		require.True(t, errors.As(err, &got), "%q: %v", c.text, err)
		require.Equal(t, Error{Column: c.column, Found: c.found, Expected: c.expected}, *got, c.text)
	}
}

func TestCompletion(t *testing.T) {
	for line, want := range map[string]string{
		"":                                     "show explain set drain clear dump",
		"s":                                    "show set",
		"show ":                                "upstreams nodes",
		"show up":                              "upstreams",
		"show upstreams where s":               "slots",
		"show upstreams where slots ":          "= != < <= > >= ~",
		"show upstreams where slots > 4 ":      "and sort limit",
		"show upstreams sort by slots ":        "desc asc limit",
		"explain ":                             "request upstream host model change",
		"drain u":                              "upstream",
		"set model m replicas=1 ":              "adapters=",
		"set model ":                           "",
		"show upstreams where slots > 4 and r": "reclaimable",
	} {
		require.Equal(t, want, strings.Join(testSchema.Complete(line), " "), line)
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{
		`show upstreams where slots >= 4 and id ~ "u\"1" sort by id desc limit 3`,
		`set model m replicas=3 adapters=a,b`, `explain request x`, `drain host h`, `clear poison p`, `dump`, `show upstreams where id = "`, "show\x00",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		command, err := Parse(text, testSchema)
		testSchema.Complete(text)
		if err != nil {
			var located *Error
			if !errors.As(err, &located) || located.Column < 1 || located.Expected == "" {
				t.Fatalf("error without column or expected text: %v", err)
			}
			return
		}
		if command.Show != nil && command.Show.Table.Text == "upstreams" {
			if len(Select(command.Show, &testSchema.Tables[0], testRows)) > len(testRows) {
				t.Fatal("selected more rows than the table has")
			}
		}
	})
}
