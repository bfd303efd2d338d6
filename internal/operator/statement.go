// Package operator implements the statement language with which operators show the
// state of the fleet and change the catalog.
package operator

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// A Statement is one statement of the language. Syntax errors name the type of the
// expected part, so the names of the types below are visible to operators.
type Statement struct {
	Show   *Show   `parser:"( 'show' @@"`
	Apply  *Apply  `parser:"| 'apply' @@"`
	Drain  *Target `parser:"| 'drain' @@"`
	Resume *Target `parser:"| 'resume' @@"`
	Remove *Remove `parser:"| 'remove' @@"`
	Set    *Set    `parser:"| 'set' @@ )"`
}

// A Show prints a table.
type Show struct {
	Table string       `parser:"@('services'|'kinds'|'upstreams'|'shards'|'hosts'|'changes'|'requests'|'settings')"`
	Where []*Condition `parser:"('where' @@ ('and' @@)*)?"`
}

// A Condition selects rows whose column equals, differs from or contains a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@('='|'!='|'~')"`
	Value    string `parser:"@(Word|String)"`
}

// An Apply creates or replaces the services of a file.
type Apply struct {
	File string `parser:"'file' @(Word|String)"`
}

// A Target identifies one upstream of a service.
type Target struct {
	Upstream string `parser:"'upstream' @Word"`
	Service  string `parser:"'of' @Word"`
}

// A Remove removes an upstream or a service.
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

// A SyntaxError reports a statement that cannot be parsed.
type SyntaxError struct {
	// Column is the position in the statement, starting at one.
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

// Parse parses a statement. All its errors are of type *SyntaxError.
func Parse(text string) (*Statement, error) {
	s, err := statementParser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var parseError participle.Error
	if errors.As(err, &parseError) {
		return nil, &SyntaxError{Column: parseError.Position().Column, Problem: parseError.Message()}
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
