package watcher

import "github.com/cockroachdb/errors"

// ErrPartial marks the errors of records that are used although a part of them can't be decoded.
var ErrPartial = errors.New("a part of the record can't be decoded")

// Fault is the reason why a record can't be used. The set is small, so that metrics can use it as a label.
type Fault string

// The faults.
const (
	// Unreadable is a value that is not exactly one JSON object.
	Unreadable Fault = "unreadable"
	// InvalidKey is a key that can't be the name of the described object.
	InvalidKey Fault = "badKey"
	// MissingField is a required field that is absent.
	MissingField Fault = "missingField"
	// RepeatedField is a field that occurs more than once.
	RepeatedField Fault = "repeatedField"
	// WrongType is a field of another type.
	WrongType Fault = "wrongType"
	// InvalidValue is a field of the right type with an invalid value.
	InvalidValue Fault = "badValue"
	// Contradiction is a record whose fields are valid separately, but not in combination.
	Contradiction Fault = "contradiction"
)

// RecordError is the error of a record that can't be used. It contains no text of the record, which may be of any
// length.
type RecordError struct {
	Fault Fault
	// Field is the path to the field; empty when the whole record is invalid.
	Field string
}

// Error implements error.
func (u *RecordError) Error() string {
	if u.Field == "" {
		return "the record can't be used: " + string(u.Fault)
	}

	return "the record can't be used: " + u.Field + ": " + string(u.Fault)
}
