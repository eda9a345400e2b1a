package operator

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json/jsontext"
)

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// DecodeStrict decodes a JSON value. It rejects unknown fields, duplicate fields and trailing data.
// An error names the field by its path.
func DecodeStrict(data []byte, out any) error {
	if err := CheckSyntax(data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		if path, cause := findDecodeError(data, reflect.TypeOf(out).Elem(), ""); cause != nil {
			return errors.Wrap(cause, path)
		}
		return errors.Wrap(err, "decode")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the end of the JSON value")
	}
	return nil
}

// CheckSyntax rejects invalid JSON and duplicate fields. Of a signed bundle with a duplicate field,
// one reader could use the first value and another the last.
func CheckSyntax(data []byte) error {
	decoder := jsontext.NewDecoder(bytes.NewReader(data))
	_, err := decoder.ReadValue()
	if err == nil {
		return nil
	}
	var syntax *jsontext.SyntacticError
	if !errors.As(err, &syntax) {
		return errors.Wrap(err, "JSON")
	}
	cause := syntax.Err.Error()
	if errors.Is(err, jsontext.ErrDuplicateName) {
		cause = "duplicate field"
	}
	path := fieldPath(syntax.JSONPointer)
	if path == "" {
		return errors.Errorf("byte %d: %s", syntax.ByteOffset, cause)
	}
	return errors.Errorf("%s: %s", path, cause)
}

// fieldPath converts a JSON pointer such as "/regions/0/name" to the form regions[0].name.
func fieldPath(pointer jsontext.Pointer) string {
	path := ""
	for token := range pointer.Tokens() {
		if _, err := strconv.Atoi(token); err == nil {
			path += "[" + token + "]"
			continue
		}
		path = joinPath(path, token)
	}
	return path
}

// findDecodeError returns the path of the first field whose value cannot be decoded, with the
// error. The decoder's own errors name the field for numbers and lists, but not for addresses,
// times and durations, which are the values that operators most often get wrong.
func findDecodeError(raw json.RawMessage, typ reflect.Type, path string) (string, error) {
	hasUnmarshaler := reflect.PointerTo(typ).Implements(textUnmarshalerType) || reflect.PointerTo(typ).Implements(jsonUnmarshalerType)
	switch {
	case hasUnmarshaler:
	case typ.Kind() == reflect.Struct:
		return findDecodeErrorInObject(raw, typ, path)
	case typ.Kind() == reflect.Slice && typ.Elem().Kind() != reflect.Uint8:
		var items []json.RawMessage
		if err := json.Unmarshal(raw, &items); err != nil {
			return path, errors.New("must be a list")
		}
		for i, item := range items {
			if errPath, err := findDecodeError(item, typ.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return errPath, err
			}
		}
		return "", nil
	}
	return path, json.Unmarshal(raw, reflect.New(typ).Interface())
}

func findDecodeErrorInObject(raw json.RawMessage, typ reflect.Type, path string) (string, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return path, errors.New("must be an object")
	}
	known := make(map[string]bool)
	for field := range typ.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[name] = true
		value, present := object[name]
		if !present {
			continue
		}
		if errPath, err := findDecodeError(value, field.Type, joinPath(path, name)); err != nil {
			return errPath, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		if !known[name] {
			return joinPath(path, name), errors.Errorf("unknown field %q", name)
		}
	}
	return "", nil
}
