// Package operator is the query and command language with which operators
// read state and change the catalog.
package operator

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// A Statement is one sentence of the language.
type Statement struct {
	Show   *Show   `parser:"( 'show' @@"`
	Apply  *Apply  `parser:"| 'apply' @@"`
	Drain  *Target `parser:"| 'drain' @@"`
	Resume *Target `parser:"| 'resume' @@"`
	Remove *Remove `parser:"| 'remove' @@"`
	Set    *Set    `parser:"| 'set' @@ )"`
}

// A Show reads a table.
type Show struct {
	Table string       `parser:"@('services'|'kinds'|'upstreams'|'shards'|'hosts'|'changes'|'requests'|'settings')"`
	Where []*Condition `parser:"('where' @@ ('and' @@)*)?"`
}

// A Condition keeps rows whose column has, or has not, a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@('='|'!='|'~')"`
	Value    string `parser:"@(Word|String)"`
}

// An Apply puts the services of a file.
type Apply struct {
	File string `parser:"'file' @(Word|String)"`
}

// A Target names one upstream.
type Target struct {
	Upstream string `parser:"'upstream' @Word"`
	Service  string `parser:"'of' @Word"`
}

// A Remove takes away an upstream or a whole service.
type Remove struct {
	Service  string  `parser:"( 'service' @Word"`
	Upstream *Target `parser:"| @@ )"`
}

// A Set changes one setting of an upstream or of a kind.
type Set struct {
	Upstream string `parser:"( 'upstream' @Word"`
	Kind     string `parser:"| 'kind' @Word )"`
	Service  string `parser:"'of' @Word"`
	Field    string `parser:"@Word"`
	Value    string `parser:"@(Word|String)"`
}

// A SyntaxError is a statement that was not understood.
type SyntaxError struct {
	// Column counts from one.
	Column  int
	Problem string
}

var (
	statementLexer = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"[^"]*"`},
		{Name: "Operator", Pattern: `!=|=|~`},
		{Name: "Word", Pattern: `[A-Za-z0-9_./:-]+`},
		{Name: "Space", Pattern: `\s+`},
	})
	statementParser = participle.MustBuild[Statement](
		participle.Lexer(statementLexer), participle.Elide("Space"), participle.Unquote("String"),
	)
)

// Parse reads a statement; a fault comes back as a *SyntaxError.
func Parse(text string) (*Statement, error) {
	s, err := statementParser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var fault participle.Error
	if errors.As(err, &fault) {
		return nil, &SyntaxError{Column: fault.Position().Column, Problem: fault.Message()}
	}
	return nil, &SyntaxError{Column: 1, Problem: err.Error()}
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("column %d: %s", e.Column, e.Problem)
}

// ModifiesCatalog reports whether the statement changes the catalog.
func (s *Statement) ModifiesCatalog() bool {
	return s.Show == nil
}
