package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Problem is one validation error of a document.
type Problem struct {
	// Line is the 1-based line number; 0 if unknown.
	Line int `json:"line"`
	// Path is the YAML path, for example "$.stores[0].url".
	Path string `json:"path"`
	// Reason describes the error and names the expected unit.
	Reason string `json:"reason"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// Problems lists all validation errors of one document.
type Problems []*Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Decode strictly decodes and validates a YAML document: unknown and duplicate
// fields are errors, as are the problems that the additional checks return. If
// the document is invalid, the returned error is of type Problems.
func Decode(text []byte, additional ...func(*Document) Problems) (*Document, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, Problems{{Line: 1, Path: "$", Reason: "the document is empty"}}
	}
	var document Document
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.DisallowUnknownField())
	if err := dec.Decode(&document); err != nil {
		return nil, Problems{decodeProblem(text, err)}
	}
	document.setDefaults()
	problems := Validate(&document)
	for _, check := range additional {
		problems = append(problems, check(&document)...)
	}
	if len(problems) > 0 {
		setLines(text, problems)
		return nil, problems
	}
	return &document, nil
}

func decodeProblem(text []byte, err error) *Problem {
	problem := &Problem{Line: 1, Path: "$", Reason: err.Error()}
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return problem
	}
	problem.Reason = yamlErr.GetMessage()
	if tok := yamlErr.GetToken(); tok != nil && tok.Position != nil {
		problem.Line = tok.Position.Line
		problem.Path = pathAt(text, tok.Position)
	}
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		problem.Reason = fmt.Sprintf("expected %s, found %s", typeName(mismatch.DstType.Kind()), typeName(mismatch.SrcType.Kind()))
	}
	return problem
}

// typeName describes a Go kind in terms that a document's author understands.
func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Slice:
		return "a list"
	}
	return "a section with fields"
}

// positionFinder is an AST visitor that records the path of the node at a
// position.
type positionFinder struct {
	position *token.Position
	path     string
}

// Visit implements ast.Visitor.
func (f *positionFinder) Visit(node ast.Node) ast.Visitor {
	tok := node.GetToken()
	if tok != nil && tok.Position != nil && tok.Position.Line == f.position.Line && tok.Position.Column == f.position.Column {
		f.path = node.GetPath()
	}
	return f
}

// pathAt returns the path of the node at a position, or "$" if there is none.
func pathAt(text []byte, position *token.Position) string {
	finder := &positionFinder{position: position, path: "$"}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return finder.path
	}
	for _, part := range file.Docs {
		if part.Body != nil {
			ast.Walk(finder, part.Body)
		}
	}
	return finder.path
}

// setLines sets the line of each problem to that of the node at its path, or
// of the nearest ancestor that is present in the text.
func setLines(text []byte, problems Problems) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return
	}
	for _, problem := range problems {
		problem.Line = lineAt(file, problem.Path)
	}
}

func lineAt(file *ast.File, path string) int {
	for path != "" {
		yp, err := yaml.PathString(path)
		if err == nil {
			node, err := yp.FilterFile(file)
			if err == nil && node != nil && node.GetToken() != nil {
				return node.GetToken().Position.Line
			}
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 1
}

// Encode encodes a document as YAML.
func Encode(document *Document) ([]byte, error) {
	return yaml.Marshal(document)
}
