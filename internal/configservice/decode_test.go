package configservice

import (
	"encoding/json"
	"testing"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Guards against a value that is longer than the platform allows, which would exceed the memory bound of a node.
func TestDecodeValueSize(t *testing.T) {
	for size, want := range map[int]ErrorKind{config.MaxValueBytes: "", config.MaxValueBytes + 1: ErrorTooLarge} {
		b, _ := json.Marshal(Value{Key: "k", Data: make([]byte, size)})
		if _, err := decodeValue("k", b); (err == nil) != (want == "") || err != nil && err.Kind != want {
			t.Errorf("%d bytes: got %v, want kind %q", size, err, want)
		}
	}
}

// Guards against a panic, and against an accepted value of another key or beyond the size limit, on any response bytes.
func FuzzDecodeValue(f *testing.F) {
	for _, s := range []string{`{`, `null`, `{"key":"k","revision":1,"data":"b25l"}`, `{"key":"other","data":""}`, `{"key":"k","data":"?"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := decodeValue("k", b)
		if err == nil && (v.Key != "k" || len(v.Data) > config.MaxValueBytes) {
			t.Fatalf("accepted key %q with %d bytes", v.Key, len(v.Data))
		}
		if err != nil && err.Kind != ErrorMalformed && err.Kind != ErrorTooLarge {
			t.Fatalf("unexpected kind %s", err.Kind)
		}
	})
}
