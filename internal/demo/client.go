package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/entry"
)

// Client calls the caller API of the tier with an API key.
type Client struct {
	HTTP *http.Client
	Key  string
}

// Search sends one search. The error is an *api.Error if the tier refused the search.
func (c Client) Search(ctx context.Context, url, group string, body entry.SearchBody, timeout time.Duration) (api.Answer, error) {
	var a api.Answer
	err := c.post(ctx, url+"/v1/groups/"+group+"/search", "", body, timeout, &a)
	return a, err
}

// Command sends a command with a ticket. If the ticket is empty, the tier refuses the command and the error, an *api.Error,
// carries the ticket to use.
func (c Client) Command(ctx context.Context, url, group, ticket string, body entry.CommandBody, timeout time.Duration) (api.CommandResult, error) {
	var r api.CommandResult
	err := c.post(ctx, url+"/v1/groups/"+group+"/commands", ticket, body, timeout, &r)
	return r, err
}

func (c Client) post(ctx context.Context, url, ticket string, body any, timeout time.Duration, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if timeout > 0 {
		req.Header.Set(entry.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	if ticket != "" {
		req.Header.Set(entry.HeaderTicket, ticket)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode != http.StatusOK {
		apiErr := &api.Error{}
		if err := decoder.Decode(apiErr); err != nil {
			return eris.Wrapf(err, "decode error with status %d", resp.StatusCode)
		}
		return apiErr
	}
	return eris.Wrap(decoder.Decode(reply), "decode answer")
}
