package query_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/callerserver"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
	"github.com/medlarshunt/medlarshunt/platform"
)

// markedCodec is the platform's codec, with a panic for requests whose path holds one of the marks.
type markedCodec struct{ platform.Codec }

const (
	panicOnEncode = "panic-on-encode"
	panicOnDecode = "panic-on-decode"
	panicOnHeader = "panic-on-header"
)

func (c markedCodec) EncodeHead(r *query.Request, target string, left time.Duration) []byte {
	if strings.Contains(r.Path, panicOnEncode) {
		panic("cannot encode")
	}
	return c.Codec.EncodeHead(r, target, left)
}

func (c markedCodec) MatchResponse(r *query.Request, h http.Header) httpcall.Match {
	if strings.Contains(r.Path, panicOnHeader) {
		panic("cannot match")
	}
	return c.Codec.MatchResponse(r, h)
}

func (c markedCodec) DecodeReply(status int, h http.Header, body []byte) query.Reply {
	if strings.Contains(h.Get("X-Request-Id"), panicOnDecode) {
		panic("cannot decode")
	}
	return c.Codec.DecodeReply(status, h, body)
}

// Guards against a target that sends bytes without end and costs more than its own call: the search is served by the other
// replica, and where both do it, the answer says that the part is missing.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	for name, fault := range map[string]shardsim.Faults{"head": {EndlessHead: true}, "body": {EndlessBody: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.mustServe("/all/x", 40)
			f.targets["shard-1-0"].SetFaults(fault)
			for range 5 {
				_, a := f.serve("/all/x")
				f.g.Expect(a.Status).To(Equal(query.Served), a.Reason)
				f.g.Expect(a.Gathered.Missing).To(BeZero())
			}
			f.setServiceFaults("shard-1", fault)
			r, a := f.serve("/all/x")
			f.g.Expect(a.Status).To(Equal(query.Served), a.Reason)
			f.g.Expect(a.Gathered.Missing).To(Equal(1))
			f.g.Expect(string(a.Gathered.Body)).To(Equal(f.expectedBody(r.ID, a.Gathered.Signatures)))
			f.setServiceFaults("single", fault)
			_, a = f.serve("/book/x")
			f.g.Expect(a.Status).To(Equal(query.Failed), "the request has run, so it is not refused")
			f.g.Eventually(f.engine.ResponseMemory, 5*time.Second, time.Millisecond).Should(BeZero())
		})
	}
}

// Guards against a second copy of an answer that arrives when the connection is in use again and is taken for the next answer.
func TestLateSecondCopyOfAnAnswer(t *testing.T) {
	f := newFixture(t, nil)
	f.setServiceFaults("single", shardsim.Faults{LateCopy: true})
	served := 0
	for range 20 {
		r, a := f.serve("/one/x")
		if a.Status == query.Served {
			f.g.Expect(a.Reply.Signature).To(HaveSuffix("." + r.ID))
			served++
		}
	}
	f.g.Expect(served).To(BeNumerically(">", 0))
}

// Guards against requests that start although the memory for responses is used up, and against a refusal that is not true.
func TestRequestsAreRefusedWithoutMemory(t *testing.T) {
	f := newFixture(t, nil)
	_, a := f.serve("/one/x")
	f.g.Expect(a.Status).To(Equal(query.Served))
	f.g.Expect(f.engine.ResponseMemory()).To(BeNumerically(">", 0), "held until the answer has been sent")
	a.Release()
	f.g.Expect(f.engine.ResponseMemory()).To(BeZero())
	release := f.engine.ReserveResponseMemory(5 << 20)
	r, refused := f.serve("/one/x")
	f.g.Expect(refused.Status).To(Equal(query.Refused))
	f.g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	f.g.Expect(f.runs(r.ID)).To(BeZero())
	release()
	f.mustServe("/one/x", 1)
}

// Guards against an unexpected error in one request that ends the process or another request, and against an answer that says
// a request has not run though it has.
func TestPanicCostsOneRequest(t *testing.T) {
	for _, mark := range []string{panicOnEncode, panicOnDecode, panicOnHeader} {
		t.Run(mark, func(t *testing.T) {
			f := newFixture(t, nil)
			for range 3 {
				for _, path := range []string{"/one/", "/book/", "/all/"} {
					r := f.request(path + mark)
					r.ID = mark + r.ID
					r.Header.Set("X-Request-Id", r.ID)
					a := f.engine.Serve(context.Background(), r)
					f.g.Expect(a.Status).To(Equal(query.Failed))
				}
			}
			f.mustServe("/one/x", 5)
			f.mustServe("/all/x", 5)
			f.g.Expect(f.stopped).NotTo(BeClosed())
		})
	}
}

// Guards against a published limit of the header that is not enforced.
func TestHeaderLimit(t *testing.T) {
	f := newFixture(t, nil)
	r := f.request("/one/x")
	r.HeaderBytes = headerLimit + 1
	f.g.Expect(f.engine.Serve(context.Background(), r).Status).To(Equal(query.HeaderTooLarge))
	r = f.request("/one/x")
	r.HeaderBytes = headerLimit
	f.g.Expect(f.engine.Serve(context.Background(), r).Status).To(Equal(query.Served))
}

// Guards against a request that gets no answer when the process stops before it has ended: only a caller that has left gets none.
func TestRequestEndedByAStopIsAnswered(t *testing.T) {
	f := newFixture(t, nil)
	f.setServiceFaults("single", shardsim.Faults{Paused: true})
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { cancel(callerserver.ErrStopping) })
	a := f.engine.Serve(ctx, f.request("/book/x"))
	f.g.Expect(a.Status).To(Equal(query.Failed), "it may run, so it is not refused")
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, leave)
	a = f.engine.Serve(ctx, f.request("/book/x"))
	f.g.Expect(a.Status).To(Equal(query.CallerGone))
}
