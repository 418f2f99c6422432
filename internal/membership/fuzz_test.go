package membership

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzApply guards against panics on messages of faulty peers and against a view that stores more than its bounds.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"from":"b","key":1,"counter":2,"records":[{"id":"b","incarnation":"1","domain":"a","counter":1,"life":"ready"}],"beats":"AQIDBAUG"}`))
	f.Add([]byte(`{"from":"a","records":[{"id":"a","incarnation":"2","domain":"z","generation":18446744073709551615}],"marks":[{"target":"t","incarnation":"1","expires_ms":2000000000}],"quarantine":[{"key":"q","expires_ms":2000000000,"payload":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		v := NewView(testRecord("a", "1"), clockAt(0))
		for i := range 2 {
			v.Apply(m)
			v.Observe(clockAt(time.Duration(i+1) * 11 * time.Second))
			v.Tick()
			v.Digest(m.From, largeLimits)
		}
		if len(v.nodes) > maxNodes || len(v.marks) > maxMarks || len(v.quarantine) > maxQuarantineEntries || v.nodes["a"] == nil {
			t.Fatal("the view exceeds its bounds or lost its own record")
		}
		for id, n := range v.nodes {
			if id != "a" && !n.record.valid() {
				t.Fatalf("stored an invalid record: %+v", n.record)
			}
		}
	})
}
