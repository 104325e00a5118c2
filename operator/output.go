package operator

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// writeJSON writes v as indented JSON.
func (t *CLI) writeJSON(v any) error {
	enc := json.NewEncoder(t.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeTable writes a header and rows in aligned columns.
func (t *CLI) writeTable(header []any, rows [][]any) error {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
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
func (t *CLI) writeOutput(v any, writeText func() error) error {
	if t.output == outputJSON {
		return t.writeJSON(v)
	}
	return writeText()
}
