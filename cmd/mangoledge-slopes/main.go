// Command mangoledge-slopes measures what the control work of a node costs, for docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/slopes"
)

func main() {
	app := kingpin.New("mangoledge-slopes", "Measures bytes, processor time and memory of the control work on this machine.")
	sizes := app.Flag("members", "Numbers of members to measure.").Default("6", "24", "100", "460").Ints()
	only := app.Flag("only", "Measure this part alone; may be repeated.").Strings()
	load := app.Flag("load-time", "How long members run beside busy loops.").Default(slopes.DefaultLoadTime.String()).Duration()
	out := app.Flag("json", "Write the figures to this file.").String()
	table := app.Flag("table", "Write the table to this file as well.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	report, err := slopes.Run(slopes.Options{Sizes: *sizes, Only: *only, LoadTime: *load, Progress: os.Stderr})
	err = errors.CombineErrors(err, report.WriteTable(os.Stdout))
	if err == nil && *out != "" {
		err = report.WriteFile(*out)
	}
	if err == nil && *table != "" {
		err = writeTable(report, *table)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mangoledge-slopes:", err)
		os.Exit(1)
	}
}

func writeTable(report *slopes.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteTable(file); err != nil {
		return err
	}
	return file.Close()
}
