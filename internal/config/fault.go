package config

import (
	"fmt"
	"strings"
)

// FaultCode classifies what is wrong with a field.
type FaultCode string

// Fault codes.
const (
	FaultRequired  FaultCode = "required"
	FaultFormat    FaultCode = "format"
	FaultRange     FaultCode = "range"
	FaultDuplicate FaultCode = "duplicate"
	FaultUnknown   FaultCode = "unknown"
	FaultConflict  FaultCode = "conflict"
	FaultMissing   FaultCode = "missing"
	FaultSize      FaultCode = "size"
	FaultHash      FaultCode = "hash"
	FaultDecode    FaultCode = "decode"
)

// Fault describes one invalid field. Message says what is wrong, Want what a valid value looks like. Other is the path
// of the field whose value a duplicate repeats.
type Fault struct {
	Path    string
	Code    FaultCode
	Message string
	Want    string
	Other   string
}

// String formats the fault on one line.
func (f Fault) String() string {
	other := ""
	if f.Other != "" {
		other = " at " + f.Other
	}
	return fmt.Sprintf("%s: %s%s; want %s", f.Path, f.Message, other, f.Want)
}

// maxPrintedFaults bounds the length of an error text: one wrong setting can cause a fault in each of thousands of targets.
const maxPrintedFaults = 20

// InvalidError lists every fault of one published document, manifest or catalogue.
type InvalidError struct {
	Subject string
	Faults  []Fault
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, maxPrintedFaults+1)
	for i, f := range e.Faults {
		if i == maxPrintedFaults {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Faults)-i))
			break
		}
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("config: invalid %s: %s", e.Subject, strings.Join(lines, " | "))
}

// faults collects the faults found during validation.
type faults struct{ list []Fault }

// add records a fault. message is a format string for args; want is used verbatim.
func (fs *faults) add(path string, code FaultCode, want, message string, args ...any) {
	fs.list = append(fs.list, Fault{Path: path, Code: code, Message: fmt.Sprintf(message, args...), Want: want})
}

// err returns an *InvalidError with the recorded faults, or nil when there is none.
func (fs *faults) err(subject string) error {
	if len(fs.list) == 0 {
		return nil
	}
	return &InvalidError{Subject: subject, Faults: fs.list}
}

// checkIntRange records a fault when v is outside [low, high].
func (fs *faults) checkIntRange(path string, v, low, high int64) {
	if v < low || v > high {
		fs.add(path, FaultRange, fmt.Sprintf("a number from %d to %d", low, high), "%d is out of range", v)
	}
}

// checkFloatRange records a fault when v is outside [low, high] or NaN.
func (fs *faults) checkFloatRange(path string, v, low, high float64) {
	if !(v >= low && v <= high) {
		fs.add(path, FaultRange, fmt.Sprintf("a number from %g to %g", low, high), "%g is out of range", v)
	}
}

// MaxNameBytes is the maximum length of an identifier, that of a DNS label.
const MaxNameBytes = 63

const wantName = "1 to 63 characters of a-z, 0-9 and -, with a letter first and no - last"

// ValidName reports whether s is a valid identifier in a document.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// checkName records a fault when s is not a valid identifier.
func (fs *faults) checkName(path, s string) {
	if s == "" {
		fs.add(path, FaultRequired, wantName, "is missing")
	} else if !ValidName(s) {
		fs.add(path, FaultFormat, wantName, "%q is not an identifier", s)
	}
}

// checkUnique records a fault when key is already in seen, which maps keys to paths, and adds it otherwise.
func (fs *faults) checkUnique(seen map[string]string, path, key string) {
	if key == "" {
		return
	}
	if first, ok := seen[key]; ok {
		fs.addDuplicate(path, key, first)
		return
	}
	seen[key] = path
}

// addDuplicate records that the field at path repeats the value of the field at first.
func (fs *faults) addDuplicate(path, key, first string) {
	fs.add(path, FaultDuplicate, "a value that is used once", "%q is already used", key)
	fs.list[len(fs.list)-1].Other = first
}
