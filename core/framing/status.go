package framing

import "strings"

// The range of statuses (RFC 9110, section 15), and the first final one.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599

	statusDigits = 3
)

// IsFinal reports whether an answer with the status can be the last one to its request.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// ParseStatus returns the status that a status line has after its version: three digits from 100
// to 599, alone or before a reason. An answer with any other status is a failure of its server.
func ParseStatus(text string) (status int, ok bool) {
	digits, _, _ := strings.Cut(text, " ")
	if len(digits) != statusDigits {
		return 0, false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return 0, false
		}
		status = 10*status + int(c-'0')
	}
	return status, status >= minStatus && status <= maxStatus
}

// IsVersion reports whether a status line may begin with the version: one of HTTP/1, with any
// minor version. In another one, the marks of a body's end mean nothing.
func IsVersion(version string) bool {
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	return ok && len(minor) == 1 && minor[0] >= '0' && minor[0] <= '9'
}
