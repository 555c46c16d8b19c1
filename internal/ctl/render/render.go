// Package render writes the results of rhubarbctl as aligned tables, JSON or CSV.
package render

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Format is the format in which results are written.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatCSV   Format = "csv"
)

const columnGap = 2 // spaces between two columns

// Table is a header with rows of cells.
type Table struct {
	Header []string
	Rows   [][]string
}

// Add appends a row of values.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	t.Rows = append(t.Rows, row)
}

// WriteText writes the table with aligned columns.
func (t *Table) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// WriteCSV writes the table as comma-separated values with its header.
func (t *Table) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	if err := cw.WriteAll(append([][]string{t.Header}, t.Rows...)); err != nil {
		return err
	}
	return cw.Error()
}

// JSON writes a value with indentation.
func JSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(value)
}

// YesNo returns "yes" or "no".
func YesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Age returns an age in milliseconds as a duration with its unit, or "unknown" if it is
// negative.
func Age(millis int64) string {
	if millis < 0 {
		return "unknown"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}
