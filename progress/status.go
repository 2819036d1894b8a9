package progress

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrStatus means that the status of an answer is none with which an HTTP exchange ends.
var ErrStatus = errors.New("the answer has no final HTTP status")

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error that wraps ErrStatus unless status is one of a final answer. The parser of net/http accepts
// any three digits, and its transport returns 101 as a final answer.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return nil
}
