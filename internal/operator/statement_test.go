package operator

import (
	"errors"
	"testing"
)

func FuzzParse(f *testing.F) {
	for _, s := range []string{"show services", `show upstreams where drain = true and service ~ "a b"`, "set kind a of b urgency urgent", "remove upstream a of b", "apply file x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(text)
		var syntaxError *SyntaxError
		if err != nil && !errors.As(err, &syntaxError) {
			t.Fatalf("not a syntax error: %v", err)
		}
	})
}
