package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeadBytes and maxHeadFields bound the head of one response.
	maxHeadBytes  = 64 << 10
	maxHeadFields = 256
	// maxInterimResponses bounds the interim responses before a response.
	maxInterimResponses = 8
	// maxWireBodyBytes bounds a body with its framing.
	maxWireBodyBytes = 2 * maxResponseBytes
	// bodyBlockBytes is how much of a body is read at a time. Bodies up to this size do not
	// count towards maxLongBodyBytes.
	bodyBlockBytes = 64 << 10
	// maxLongBodyBytes bounds the bytes of all long bodies that a host is reading at a time.
	maxLongBodyBytes = 4 * maxResponseBytes
	// maxErrorBytes bounds the text of an error about a response.
	maxErrorBytes = 256
)

// A TooLargeError means that a response exceeds a bound.
type TooLargeError struct {
	What string
	// Bound is the bound in bytes, or the highest number.
	Bound int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s above the bound of %d", e.What, e.Bound)
}

// A boundedReader fails after a number of bytes, so that what parses them cannot be made
// to read without end.
type boundedReader struct {
	io.Reader
	what             string
	bound, remaining int64
	// exceeded is set once more than the bound was to be read.
	exceeded bool
}

// allow sets the bound on what is read from now on.
func (r *boundedReader) allow(what string, bound int64) {
	r.what, r.bound, r.remaining = what, bound, bound
}

// errorFor returns a *TooLargeError if the bound is exceeded, and err otherwise. A parser
// that reaches the bound may return an error of its own.
func (r *boundedReader) errorFor(err error) error {
	if r.exceeded {
		return &TooLargeError{What: r.what, Bound: r.bound}
	}
	return err
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.exceeded = true
		return 0, r.errorFor(nil)
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// A shortError is an error whose text is bounded: it may quote what an upstream has sent.
type shortError struct{ err error }

// Error implements error.
func (e *shortError) Error() string {
	text := e.err.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return text[:maxErrorBytes] + "..."
}

// Unwrap returns the underlying error.
func (e *shortError) Unwrap() error { return e.err }

// A byteBudget bounds bytes that are held at once. It is safe for concurrent use.
type byteBudget struct{ used atomic.Int64 }

// take takes bytes and reports whether they were left.
func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) <= maxLongBodyBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *byteBudget) giveBack(n int64) { b.used.Add(-n) }

// readBody returns the complete body of a response. While it is being read, what exceeds
// one block is taken from the budget.
func readBody(response *http.Response, budget *byteBudget) ([]byte, error) {
	if response.Body == http.NoBody {
		// The stated length of a response to HEAD is not that of a body to come.
		return []byte{}, nil
	}
	length := response.ContentLength
	if length > maxResponseBytes {
		return nil, &TooLargeError{What: "body", Bound: maxResponseBytes}
	}
	if length >= 0 && length <= bodyBlockBytes {
		body := make([]byte, length)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, fmt.Errorf("read %d bytes: %w", length, err)
		}
		return body, nil
	}
	if length < 0 {
		length = math.MaxInt64
	}
	var body bytes.Buffer
	taken := int64(0)
	defer func() { budget.giveBack(taken) }()
	for {
		n, err := io.CopyN(&body, response.Body, min(bodyBlockBytes, length-int64(body.Len())))
		switch {
		case int64(body.Len()) == length, errors.Is(err, io.EOF) && length == math.MaxInt64:
			return body.Bytes(), nil
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("read %d bytes: %w", length, io.ErrUnexpectedEOF)
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		case body.Len() > maxResponseBytes:
			return nil, &TooLargeError{What: "body", Bound: maxResponseBytes}
		case !budget.take(n):
			return nil, &TooLargeError{What: "long bodies at once", Bound: maxLongBodyBytes}
		}
		taken += n
	}
}
