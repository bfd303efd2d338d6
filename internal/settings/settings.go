// Package settings strictly decodes JSON with comments, validates it and reports errors
// with their positions in the file.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// MaxDocumentBytes is the maximum size of a document that Decode accepts.
const MaxDocumentBytes = 1 << 20

// An Error is an error at one position of a settings file.
type Error struct {
	File   string
	Line   int
	Column int
	// Field is the path of the invalid field, such as "kinds[2].urgency".
	Field   string
	Problem string
}

var (
	validate       = newValidator()
	unknownField   = regexp.MustCompile(`unknown field "(.*)"`)
	hujsonPosition = regexp.MustCompile(`line (\d+), column (\d+)`)
	arrayIndex     = regexp.MustCompile(`\[(\d+)\]`)
	kebabName      = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
)

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Problem
}

// Decode decodes a document into out and, if out points to a struct, validates it by
// its validate tags. If the document cannot be decoded, Decode returns an *Error for
// the first problem. If fields are invalid, it returns an *Error for each of them,
// joined with errors.Join. file is the name of the document in the errors.
func Decode(file string, data []byte, out any) error {
	if len(data) > MaxDocumentBytes {
		return &Error{File: file, Line: 1, Column: 1, Problem: fmt.Sprintf("larger than %d bytes", MaxDocumentBytes)}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return syntaxError(file, err)
	}
	standard := value.Clone()
	standard.Standardize()
	if err := decodeStrict(file, data, standard.Pack(), out); err != nil {
		return err
	}
	if reflect.Indirect(reflect.ValueOf(out)).Kind() != reflect.Struct {
		return nil
	}
	return validateStruct(file, data, &value, out)
}

// NewFieldError returns an *Error for the field at a path of a document. It is for
// checks that validate tags cannot express.
func NewFieldError(file string, data []byte, field, problem string) *Error {
	e := &Error{File: file, Line: 1, Column: 1, Field: field, Problem: problem}
	value, err := hujson.Parse(data)
	if err != nil {
		return e
	}
	e.Line, e.Column = lineAndColumn(data, findOffset(&value, field))
	return e
}

// Load reads, decodes and validates a file.
func Load(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Decode(path, data, out)
}

func validateStruct(file string, data []byte, value *hujson.Value, out any) error {
	err := validate.Struct(out)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	var errs []error
	for _, f := range fieldErrors {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		line, column := lineAndColumn(data, findOffset(value, field))
		errs = append(errs, &Error{File: file, Line: line, Column: column, Field: field, Problem: describeProblem(f)})
	}
	return errors.Join(errs...)
}

func decodeStrict(file string, data, standard []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil {
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			line, column := lineAndColumn(data, int(decoder.InputOffset()))
			return &Error{File: file, Line: line, Column: column, Problem: "more text after the document"}
		}
		return nil
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		line, column := lineAndColumn(data, int(typeError.Offset))
		return &Error{
			File: file, Line: line, Column: column, Field: typeError.Field,
			Problem: fmt.Sprintf("cannot hold a JSON %s", typeError.Value),
		}
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		line, column := lineAndColumn(data, max(0, bytes.Index(standard, []byte(`"`+m[1]+`"`))))
		return &Error{File: file, Line: line, Column: column, Field: m[1], Problem: "unknown field"}
	}
	line, column := lineAndColumn(data, int(decoder.InputOffset()))
	return &Error{File: file, Line: line, Column: column, Problem: err.Error()}
}

// findOffset returns the byte offset of the field at a path. If the document lacks
// the field, it returns the offset of the innermost parent that exists.
func findOffset(value *hujson.Value, field string) int {
	pointer := "/" + strings.ReplaceAll(arrayIndex.ReplaceAllString(field, ".$1"), ".", "/")
	for pointer != "" {
		if found := value.Find(pointer); found != nil {
			return found.StartOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return value.StartOffset
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	err := v.RegisterValidation("kebab", func(l validator.FieldLevel) bool {
		return kebabName.MatchString(l.Field().String())
	})
	if err != nil {
		panic(err)
	}
	return v
}

// lineAndColumn returns the line and column of a byte offset. Both start at 1.
func lineAndColumn(data []byte, offset int) (line, column int) {
	before := data[:min(max(offset, 0), len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func describeProblem(f validator.FieldError) string {
	value := f.Value()
	switch f.Tag() {
	case "required":
		return "must be given"
	case "min", "gte":
		return fmt.Sprintf("%v is below the minimum of %s", describeValue(value), f.Param())
	case "max", "lte":
		return fmt.Sprintf("%v is above the maximum of %s", describeValue(value), f.Param())
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", value, strings.ReplaceAll(f.Param(), " ", ", "))
	case "kebab":
		return fmt.Sprintf("%q is not a kebab-case name", value)
	case "hostname_port":
		return fmt.Sprintf("%q is not an address with a port", value)
	case "unique":
		return fmt.Sprintf("two entries share the same %s", f.Param())
	default:
		return fmt.Sprintf("violates the rule %q", f.Tag())
	}
}

// describeValue returns the length of slices, maps and strings as text, because their
// minimum and maximum apply to the length, and other values unchanged.
func describeValue(value any) any {
	v := reflect.ValueOf(value)
	switch v.Kind() {
	case reflect.Slice, reflect.Map, reflect.String:
		return fmt.Sprintf("a length of %d", v.Len())
	default:
		return value
	}
}

func syntaxError(file string, err error) error {
	e := &Error{File: file, Line: 1, Column: 1, Problem: err.Error()}
	if m := hujsonPosition.FindStringSubmatch(err.Error()); m != nil {
		fmt.Sscan(m[1], &e.Line)
		fmt.Sscan(m[2], &e.Column)
		_, e.Problem, _ = strings.Cut(e.Problem, m[0]+": ")
	}
	return e
}
