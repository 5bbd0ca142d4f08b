// Package extreme fills messages with extreme values, for tests that send what no
// correct process sends.
package extreme

import (
	"math"
	"math/rand/v2"
	"reflect"
)

// maxLen is the length of the longest lists.
const maxLen = 3

var (
	ints   = []int64{0, 1, -1, 3, 600, math.MaxInt64, math.MinInt64, math.MaxInt32, 1 << 40}
	floats = []float64{0, 1, -1, 0.5, 1e300, math.NaN(), math.Inf(1), math.Inf(-1), math.SmallestNonzeroFloat64}
)

// Fill sets everything that v points to, except unexported fields. Strings are
// chosen among the given ones.
func Fill(r *rand.Rand, strings []string, v any) { fill(r, strings, reflect.ValueOf(v).Elem()) }

func fill(r *rand.Rand, strings []string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if r.IntN(2) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(r, strings, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(r, strings, v.Field(i))
			}
		}
	case reflect.Slice:
		if r.IntN(3) == 0 {
			return // nil
		}
		v.Set(reflect.MakeSlice(v.Type(), r.IntN(maxLen+1), maxLen))
		for i := range v.Len() {
			fill(r, strings, v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(r, strings, v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range r.IntN(maxLen + 1) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(r, strings, key)
			fill(r, strings, value)
			v.SetMapIndex(key, value)
		}
	case reflect.String:
		v.SetString(strings[r.IntN(len(strings))])
	case reflect.Bool:
		v.SetBool(r.IntN(2) == 0)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(floats[r.IntN(len(floats))])
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(ints[r.IntN(len(ints))])
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(ints[r.IntN(len(ints))]))
	}
}
