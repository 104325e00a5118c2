package operator

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// writeJSON writes v as indented JSON.
func (cli *CLI) writeJSON(v any) error {
	enc := json.NewEncoder(cli.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeTable writes a header and rows in aligned columns.
func (cli *CLI) writeTable(header []any, rows [][]any) error {
	w := tabwriter.NewWriter(cli.Out, 0, 4, 2, ' ', 0)
	for _, row := range append([][]any{header}, rows...) {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// writeOutput writes v as JSON or calls writeText, depending on -output.
func (cli *CLI) writeOutput(v any, writeText func() error) error {
	if cli.output == outputJSON {
		return cli.writeJSON(v)
	}
	return writeText()
}
