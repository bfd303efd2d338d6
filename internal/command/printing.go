package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/olekukonko/tablewriter"

	"github.com/foxtailshelf/foxtailshelf/internal/operator"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// newStateRequest returns a request for the state of a gate. The request carries no
// state of its sender.
func newStateRequest() *wire.ExchangeRequest {
	return &wire.ExchangeRequest{}
}

// printTable prints a table with a frame, or as tab-separated lines if plain is set.
func printTable(w io.Writer, t *operator.Table, plain bool) error {
	if plain {
		for _, row := range t.Rows() {
			if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
				return fmt.Errorf("print: %w", err)
			}
		}
		return nil
	}
	table := tablewriter.NewTable(w, tablewriter.WithHeaderAutoFormat(-1))
	table.Header(t.Columns())
	if err := table.Bulk(t.Rows()); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if err := table.Render(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
