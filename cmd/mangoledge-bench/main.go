// Command mangoledge-bench measures the decisions under load and faults against
// baselines and an oracle, on a virtual clock.
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
	seeds := app.Flag("seeds", "How many seeds each small shape runs with.").Default("3").Int()
	shape := app.Flag("shape", "Run this shape alone: cascadia, laoruum or domain.").String()
	scenario := app.Flag("scenario", "Run this scenario alone, such as reclaim+refused.").String()
	system := app.Flag("system", "Run this system alone, such as mangoledge or least-outstanding.").String()
	lines := app.Flag("json", "Write the results as JSON lines to this file.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	tasks := bench.Plan(*short, *seeds)
	if *shape != "" || *scenario != "" || *system != "" {
		tasks = bench.Custom(*shape, *scenario, *system, *seeds)
	}
	if err := run(tasks, *lines); err != nil {
		fmt.Fprintln(os.Stderr, "mangoledge-bench:", err)
		os.Exit(1)
	}
}

// run makes the runs, prints table and targets, and writes the lines.
func run(tasks []bench.Task, lines string) error {
	begin := time.Now()
	results := bench.RunAll(tasks)
	if err := bench.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if err := bench.WriteTargets(os.Stdout, results); err != nil {
		return err
	}
	fmt.Printf("\n%d runs in %.1f s\n", len(results), time.Since(begin).Seconds())
	if lines == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(lines), 0o755); err != nil {
		return err
	}
	file, err := os.Create(lines)
	if err != nil {
		return err
	}
	if err := bench.WriteLines(file, results); err != nil {
		return err
	}
	return file.Close()
}
