package target

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

var refusalKinds = map[RefusalCode]FailureKind{
	RefusalShed:        FailureShed,
	RefusalDraining:    FailureDraining,
	RefusalVersionGone: FailureVersionGone,
	RefusalNotRun:      FailureRefused,
}

// interpret converts a complete response into the result of its exchange. Only a refusal that echoes this call proves
// that it did not run: a refusal of another call, or one from an intermediary, proves nothing about it.
func interpret(status int, b []byte, x *exchange) *Error {
	switch status {
	case http.StatusOK:
		echo, err := x.decode(b)
		if err != nil {
			return unknownOutcomeError(FailureMalformed, err)
		}
		if x.echo != nil && echo != *x.echo {
			return unknownOutcomeError(FailureMismatch, ErrEchoMismatch)
		}
		return nil
	case http.StatusServiceUnavailable:
		return interpretRefusal(b, x)
	default:
		e := unknownOutcomeError(FailureInternal, eris.Errorf("status %d", status))
		var r Refusal
		if json.Unmarshal(b, &r) == nil && x.echo != nil && r.Echo == *x.echo {
			e.Load = r.Load
		}
		return e
	}
}

func interpretRefusal(b []byte, x *exchange) *Error {
	var r Refusal
	if err := json.Unmarshal(b, &r); err != nil {
		return unknownOutcomeError(FailureMalformed, eris.Wrap(err, "decode refusal"))
	}
	if x.echo == nil || r.Echo != *x.echo {
		return unknownOutcomeError(FailureMismatch, ErrEchoMismatch)
	}
	kind, ok := refusalKinds[r.Code]
	if !ok {
		return unknownOutcomeError(FailureMalformed, eris.Errorf("unknown refusal code %q", r.Code))
	}
	return &Error{Kind: kind, Outcome: api.OutcomeNotRun, Load: r.Load, Err: eris.Errorf("refused: %s %s", r.Code, r.Message)}
}

// decodeSearch decodes a search response and rejects ranges and keys outside of the key space and empty ranges, which no
// partition map can hold, because coverage is computed from them.
func decodeSearch(b []byte, out *SearchResponse) error {
	if err := json.Unmarshal(b, out); err != nil {
		return eris.Wrap(err, "decode search response")
	}
	for _, r := range out.Ranges {
		if r.Empty() || r.To > api.KeySpaceEnd {
			return eris.Errorf("search response has invalid range [%d, %d)", r.From, r.To)
		}
	}
	for _, h := range out.Hits {
		if h.Key >= api.KeySpaceEnd {
			return eris.Errorf("search response has invalid key %d", h.Key)
		}
	}
	return nil
}

func decodeCommand(b []byte, out *CommandResponse) error {
	return eris.Wrap(json.Unmarshal(b, out), "decode command response")
}

func decodeHealth(b []byte, out *Health) error {
	return eris.Wrap(json.Unmarshal(b, out), "decode health")
}
