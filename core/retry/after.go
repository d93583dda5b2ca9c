package retry

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MaxAfter is the longest delay that ParseAfter returns. A server that asks for more has
// been restarted or replaced by then, or the value is a mistake that must not cost the
// server for good.
const MaxAfter = time.Hour

// ParseAfter reads the values of a Retry-After header. It is the only reading of that
// header in the project:
//
//   - One value, a number of seconds in decimal notation with an optional fraction, is
//     the delay. Spaces around it are ignored.
//   - No value, zero and negative numbers stand for no delay.
//   - A number above MaxAfter, however long, stands for MaxAfter.
//   - Anything else is an error, and no delay: several values, in one line or more, an
//     empty value, NaN and infinities, exponents, units and dates. A date would need the
//     same time of day on both sides.
//
// It says nothing about the statuses with which the header counts.
func ParseAfter(values []string) (time.Duration, error) {
	switch len(values) {
	case 0:
		return 0, nil
	case 1:
	default:
		return 0, errors.Errorf("%d values instead of one", len(values))
	}
	text := strings.Trim(values[0], " \t")
	if strings.Trim(text, "+-.0123456789") != "" {
		return 0, errors.Errorf("%.40q is no number of seconds", text)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 0) {
		return 0, errors.Errorf("%.40q is no number of seconds", text)
	}
	if seconds <= 0 {
		return 0, nil
	}
	if seconds >= MaxAfter.Seconds() {
		return MaxAfter, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
