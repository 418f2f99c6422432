package intake

import (
	"context"
	"net/http"
	"time"
)

type accountKey struct{}

// Begin opens the account of a request whose head has been read. The caller closes it when the request has been answered.
func (b *Budget) Begin(ctx context.Context, w http.ResponseWriter) (context.Context, *Account) {
	conn := http.NewResponseController(w)
	a := b.Open(func() { _ = conn.SetReadDeadline(time.Unix(0, 1)) }) // an error means that the client has disconnected
	return context.WithValue(ctx, accountKey{}, a), a
}

// unlimited is the budget of requests that have none.
var unlimited = NewBudget(0, time.Now)

// AccountOf returns the account that Begin opened for a request, or one without a limit.
func AccountOf(ctx context.Context) *Account {
	if a, ok := ctx.Value(accountKey{}).(*Account); ok {
		return a
	}
	return unlimited.Open(func() {})
}
