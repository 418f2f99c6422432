package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

var errBodyTooLarge = eris.New("body is too large")

// readLimited reads the whole body. It returns errBodyTooLarge if the body is longer than limit bytes.
func readLimited(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if int64(len(data)) > limit {
		return nil, errBodyTooLarge
	}
	return data, nil
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
