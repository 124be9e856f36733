package header

import (
	"fmt"
)

// CheckStatus returns an error if a status is none of a final response. HTTP knows those
// from 200 to 599; net/http reads any three digits.
func CheckStatus(status int) error {
	if status < 200 || status > 599 {
		return fmt.Errorf("a response has the status %03d, which is not from 200 to 599", status)
	}
	return nil
}
