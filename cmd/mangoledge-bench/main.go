// Command mangoledge-bench measures the decision packages under load and faults on a virtual
// clock, and compares them with baselines and an oracle that knows the true load.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/bench"
)

func main() {
	app := kingpin.New("mangoledge-bench", "Measures routing, admission, retries, poison requests and recovery under load and faults.")
	short := app.Flag("short", "Run one shape with few scenarios, in under 30 s.").Bool()
	seeds := app.Flag("seeds", "Number of seeds for each small shape.").Default("3").Int()
	shape := app.Flag("shape", "Run only this shape: cascadia, laoruum or domain.").String()
	scenario := app.Flag("scenario", "Run only this scenario, such as reclaim+refused.").String()
	system := app.Flag("system", "Run this system alone, such as mangoledge or least-outstanding.").String()
	jsonPath := app.Flag("json", "Write the results as JSON lines to this file.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	tasks := bench.Plan(*short, *seeds)
	if *shape != "" || *scenario != "" || *system != "" {
		tasks = bench.CustomPlan(*shape, *scenario, *system, *seeds)
	}
	if err := run(tasks, *jsonPath); err != nil {
		fmt.Fprintln(os.Stderr, "mangoledge-bench:", err)
		os.Exit(1)
	}
}

// run executes tasks, prints the table and the targets, and writes the results as JSON lines to the file
// at jsonPath unless it is empty.
func run(tasks []bench.Task, jsonPath string) error {
	start := time.Now()
	results := bench.RunAll(tasks)
	if err := bench.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if err := bench.WriteTargets(os.Stdout, results); err != nil {
		return err
	}
	fmt.Printf("\n%d runs in %.1f s\n", len(results), time.Since(start).Seconds())
	if jsonPath == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(jsonPath), 0o755); err != nil {
		return err
	}
	file, err := os.Create(jsonPath)
	if err != nil {
		return err
	}
	if err := bench.WriteJSONLines(file, results); err != nil {
		return err
	}
	return file.Close()
}
