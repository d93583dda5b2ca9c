package compat_test

import (
	"encoding/json"
	"hash/fnv"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosereach/io/member"
)

// maxDepth bounds recursive types.
const maxDepth = 8

// fill sets every exported field below v to a value that depends on the field's path alone, so
// that builds with further fields set the common ones alike.
func fill(v reflect.Value, path string, depth int) {
	if depth > maxDepth {
		return
	}
	h := fnv.New32a()
	h.Write([]byte(path))
	n := int64(h.Sum32()%100) + 1
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+n, 0).UTC()))
		return
	case json.RawMessage:
		v.Set(reflect.ValueOf(json.RawMessage(`{"a":1}`)))
		return
	case cbor.RawMessage:
		v.Set(reflect.ValueOf(cbor.RawMessage{0x01}))
		return
	case member.Loads:
		// It is encoded as its reports alone.
		fill(v.FieldByName("Reports"), path, depth)
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), path, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), path, depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, path, depth+1)
		fill(value, path, depth+1)
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				fill(v.Field(i), path+"."+f.Name, depth+1)
			}
		}
	}
}
