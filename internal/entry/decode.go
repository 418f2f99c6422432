package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/intake"
)

// crowdedRetryAfter is sent with the refusal of a body for which there is no memory.
const crowdedRetryAfter = time.Second

// ReadBody reads the body of a request of at most limit bytes until the deadline.
func ReadBody(c *gin.Context, limit int64, deadline time.Time) ([]byte, *api.Error) {
	body, err := intake.ReadBody(c.Writer, c.Request, limit, deadline, intake.AccountOf(c.Request.Context()))
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrBodyTooLarge):
		return nil, api.NewRefusal(api.CodeTooLarge, "body", "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, intake.ErrTooSlow):
		return nil, api.NewRefusal(api.CodeNoTimeLeft, "body", "the body did not arrive in time")
	case errors.Is(err, intake.ErrExhausted), errors.Is(err, intake.ErrEvicted):
		return nil, api.NewRefusal(api.CodeOverloaded, "body", err.Error()).WithRetryAfter(crowdedRetryAfter)
	default:
		return nil, api.NewRefusal(api.CodeMalformed, "body", "the body could not be read; send it again")
	}
}

// DecodeStrict decodes exactly one JSON object. It rejects unknown fields, which are often misspelt known ones.
func DecodeStrict(body []byte, v any) *api.Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return api.NewRefusal(api.CodeMalformed, typeErr.Field, "must not be a JSON "+typeErr.Value)
		}
		return api.NewRefusal(api.CodeMalformed, "body", "is not the expected JSON object: "+err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return api.NewRefusal(api.CodeMalformed, "body", "has data after the JSON object")
	}
	return nil
}
