// Command mangoledge-slopes measures the bytes, processor time and memory that the control work of a
// node costs for each member, request, upstream or change. docs/CAPACITY.md uses the results.
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
	sizes := app.Flag("members", "Numbers of members to measure with.").Default("6", "24", "100", "460").Ints()
	only := app.Flag("only", "Measure only this part; may be repeated.").Strings()
	loadTime := app.Flag("load-time", "How long members run while busy loops load the processors.").Default(slopes.DefaultLoadTime.String()).Duration()
	jsonPath := app.Flag("json", "Write the figures as JSON to this file.").String()
	tablePath := app.Flag("table", "Also write the table to this file.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	report, err := slopes.Run(slopes.Options{Sizes: *sizes, Only: *only, LoadTime: *loadTime, Progress: os.Stderr})
	err = errors.CombineErrors(err, report.WriteTable(os.Stdout))
	if err == nil && *jsonPath != "" {
		err = report.WriteFile(*jsonPath)
	}
	if err == nil && *tablePath != "" {
		err = writeTable(report, *tablePath)
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
