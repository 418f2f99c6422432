package target

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

var testEcho = Echo{RequestID: "r", AttemptID: "a", Service: "s"}

func testExchange(out *SearchResponse) *exchange {
	return &exchange{echo: &testEcho, decode: func(b []byte) (Echo, error) {
		err := decodeSearch(b, out)
		return out.Echo, err
	}}
}

const echoJSON = `"request_id":"r","attempt_id":"a","service":"s"`

// Guards against responses of other processes or of a faulty target that pass as a result or as proof of OutcomeNotRun.
var _ = DescribeTable("interpret",
	func(status int, body string, kind FailureKind, outcome api.Outcome) {
		e := interpret(status, []byte(body), testExchange(&SearchResponse{}))
		Expect(e).NotTo(BeNil())
		Expect(e.Kind).To(Equal(kind))
		Expect(e.Outcome).To(Equal(outcome))
	},
	Entry("refusal of this call", 503, `{`+echoJSON+`,"code":"not_run"}`, FailureRefused, api.OutcomeNotRun),
	Entry("refusal without echo", 503, `{"code":"not_run"}`, FailureMismatch, api.OutcomeUnknown),
	Entry("refusal with an unknown code", 503, `{`+echoJSON+`,"code":"busy"}`, FailureMalformed, api.OutcomeUnknown),
	Entry("HTML page of a proxy", 503, `<html>`, FailureMalformed, api.OutcomeUnknown),
	Entry("refusal with another status", 500, `{`+echoJSON+`,"code":"not_run"}`, FailureInternal, api.OutcomeUnknown),
	Entry("empty range", 200, `{`+echoJSON+`,"ranges":[{"from":5,"to":5}]}`, FailureMalformed, api.OutcomeUnknown),
	Entry("range beyond the key space", 200, `{`+echoJSON+`,"ranges":[{"from":5,"to":4294967297}]}`, FailureMalformed, api.OutcomeUnknown),
	Entry("key beyond the key space", 200, `{`+echoJSON+`,"hits":[{"key":4294967296}]}`, FailureMalformed, api.OutcomeUnknown),
	Entry("second value after the body", 200, `{`+echoJSON+`}{}`, FailureMalformed, api.OutcomeUnknown),
)

// Guards against a write after the deadline when this process was paused: the deadline is checked on both clocks.
var _ = DescribeTable("trackedBody",
	func(monotonic, wall time.Duration, written bool) {
		now := time.Now()
		body := &trackedBody{unread: bytes.NewReader([]byte("body")), deadline: now.Add(monotonic), wallDeadline: now.Round(0).Add(wall)}
		_, err := io.ReadAll(body)
		Expect(err == nil).To(Equal(written))
		Expect(body.seal()).To(Equal(!written))
	},
	Entry("in time", time.Hour, time.Hour, true),
	Entry("monotonic clock past the deadline", -time.Second, time.Hour, false),
	Entry("wall clock past the deadline", time.Hour, -time.Second, false),
)

// Guards against connections that are closed because this process, not the target, was paused.
var _ = DescribeTable("silenceStart",
	func(late time.Duration, restart bool) {
		probeSent := time.Now()
		due := probeSent.Add(time.Second)
		now := due.Add(late)
		want := probeSent
		if restart {
			want = now
		}
		Expect(silenceStart(probeSent, due, now, 100*time.Millisecond)).To(Equal(want))
	},
	Entry("check in time", 100*time.Millisecond, false),
	Entry("check late after a pause", 101*time.Millisecond, true),
)

// Guards against a write after the request was reported as not sent.
var _ = It("trackedBody returns no bytes once it is sealed", func() {
	body := &trackedBody{unread: bytes.NewReader([]byte("body"))}
	Expect(body.seal()).To(BeTrue())
	_, err := io.ReadAll(body)
	Expect(err).To(MatchError(errSealed))
})

// Guards against a panic or an unproven OutcomeNotRun on any bytes that a target can send.
func FuzzInterpret(f *testing.F) {
	for _, s := range []string{`{`, `null`, `{` + echoJSON + `}`, `{` + echoJSON + `,"code":"shed","load":{"in_flight":1}}`,
		`{` + echoJSON + `,"ranges":[{"from":1,"to":2}],"hits":[{"id":"x","key":1,"score":1e999}]}`} {
		f.Add(200, []byte(s))
		f.Add(503, []byte(s))
	}
	f.Fuzz(func(t *testing.T, status int, b []byte) {
		var resp SearchResponse
		e := interpret(status, b, testExchange(&resp))
		if e == nil {
			if status != 200 || resp.Echo != testEcho {
				t.Fatalf("accepted status %d with echo %+v", status, resp.Echo)
			}
			for _, r := range resp.Ranges {
				if r.Empty() || r.To > api.KeySpaceEnd {
					t.Fatalf("accepted range %+v", r)
				}
			}
			if _, err := json.Marshal(resp); err != nil {
				t.Fatalf("accepted a response that cannot be passed on: %v", err)
			}
			return
		}
		var r Refusal
		if e.Outcome == api.OutcomeNotRun && (status != 503 || json.Unmarshal(b, &r) != nil || r.Echo != testEcho) {
			t.Fatalf("NotRun without proof: status %d, body %q", status, b)
		}
	})
}
