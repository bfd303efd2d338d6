package entry

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDecodeRequestErrors(t *testing.T) {
	for _, test := range []struct{ name, body, want string }{
		{"truncated JSON", `{"kind":`, "body: is not JSON at byte 0"},
		{"unknown field", `{"kind":"a","colour":1}`, "colour: unknown field"},
		{"wrong type", `{"kind":7}`, "kind: cannot hold a JSON number"},
		{"no kind", `{}`, "kind: must be given"},
		{"negative deadline", `{"kind":"a","deadline-milliseconds":-1}`, "deadline-milliseconds: must not be negative"},
		{"deadline too far", `{"kind":"a","deadline-milliseconds":600001}`, "deadline-milliseconds: must be at most 600000"},
		{"long id", `{"kind":"a","request-id":"` + strings.Repeat("x", 129) + `"}`, "request-id: must have at most 128 characters"},
		{"id with a slash", `{"kind":"a","request-id":"a/b"}`, "request-id: may hold letters, digits, '-', '_', '.' and ':' only"},
		{"two documents", `{"kind":"a"}{}`, "body: more text after the request"},
		{"oversized", `{"kind":"` + strings.Repeat("x", MaxBodySize) + `"}`, "body: larger than 1048576 bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := DecodeRequest(strings.NewReader(test.body))
			qt.New(t).Check(err, qt.ErrorMatches, strings.NewReplacer("(", `\(`, ".", `\.`).Replace(test.want))
		})
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"request-id":"a","kind":"search","key":"k","deadline-milliseconds":5,"query":{"a":[1]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeRequest(strings.NewReader(string(data)))
		var bad *InvalidRequestError
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("error is not a BadRequestError: %v", err)
		}
		if err == nil {
			if _, err := json.Marshal(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}
