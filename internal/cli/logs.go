package cli

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/story"
)

// addLogsCommand adds the command that shows a request's events from log files. The command
// needs no node.
func (a *app) addLogsCommand() {
	var request string
	var files []string
	command := a.addCommand("logs", "Tell what happened to a request from daemons' logs, of any number of hosts.", func(context.Context) (ExitCode, error) {
		lines, err := story.RequestLines(request, logFiles(files))
		switch {
		case errors.Is(err, story.ErrNotFound):
			return ExitNoAnswer, err
		case err != nil:
			return ExitUsage, err
		case a.jsonOutput():
			return ExitOK, a.printJSON(lines)
		}
		return ExitOK, story.Write(a.streams.Out, lines)
	})
	command.Arg("request", "The client's ID of the request.").Required().StringVar(&request)
	command.Arg("file", "Logs, one JSON object a line; a prefix before it is passed over.").Required().ExistingFilesVar(&files)
}

// logFiles returns the logs in files, which are read one after the other.
func logFiles(paths []string) story.Logs {
	return func(read func(io.Reader) error) error {
		for _, path := range paths {
			if err := readFile(path, read); err != nil {
				return errors.Wrap(err, path)
			}
		}
		return nil
	}
}

// readFile opens a file and calls read with it.
func readFile(path string, read func(io.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written
	return read(file)
}
