// Package encoding encodes what rosereach's processes send each other and store, as CBOR.
// What one process encodes, every process can decode: the library's own settings encode
// strings that are not UTF-8 and lists over 131,072 items, and refuse to decode them, so
// that one such value makes a message, a log entry or a snapshot unreadable for good.
package encoding

import (
	"math"
	"reflect"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ErrText is the cause when a string is not UTF-8.
const ErrText = errors.ConstError("not UTF-8 text")

// maxNestedLevels is far above the depth of any type that is encoded.
const maxNestedLevels = 256

var (
	decoder  = newDecoder()
	timeType = reflect.TypeFor[time.Time]()
)

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Trace(err)
}

// Unmarshal decodes data into the value that v points to.
func Unmarshal(data []byte, v any) error { return errors.Trace(decoder.Unmarshal(data, v)) }

// CheckText returns an error that names the first string in v that is not UTF-8, nil if
// there is none. Builds that decode strictly can't read such a value, and no operator can
// address it. Byte slices are not text.
func CheckText(v any) error { return checkText(reflect.ValueOf(v), "") }

func checkText(v reflect.Value, path string) error {
	if v.IsValid() && v.Type() == timeType {
		return nil // its location is no part of the encoding, and another goroutine may be setting it
	}
	switch v.Kind() {
	case reflect.String:
		if !utf8.ValidString(v.String()) {
			return errors.Annotatef(ErrText, "%s %q", path, v.String())
		}
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			return checkText(v.Elem(), path)
		}
	case reflect.Struct:
		return checkEach(v.NumField(), func(i int) error { return checkText(v.Field(i), join(path, v.Type().Field(i).Name)) })
	case reflect.Slice, reflect.Array:
		if mayHoldText(v.Type().Elem().Kind()) {
			return checkEach(v.Len(), func(i int) error { return checkText(v.Index(i), join(path, strconv.Itoa(i))) })
		}
	case reflect.Map:
		keys := v.MapKeys()
		return checkEach(len(keys), func(i int) error {
			if err := checkText(keys[i], join(path, "key")); err != nil {
				return err
			}
			return checkText(v.MapIndex(keys[i]), join(path, "value"))
		})
	}
	return nil
}

// checkEach returns the first error of the checks of n items.
func checkEach(n int, check func(i int) error) error {
	for i := range n {
		if err := check(i); err != nil {
			return err
		}
	}
	return nil
}

func mayHoldText(k reflect.Kind) bool {
	switch k {
	case reflect.String, reflect.Pointer, reflect.Interface, reflect.Struct, reflect.Slice, reflect.Array, reflect.Map:
		return true
	}
	return false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
