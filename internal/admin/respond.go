package admin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/entry"
)

// fail answers with an error of the form that the caller API uses.
func (s *Server) fail(c *gin.Context, err *api.Error) {
	body := *err
	body.RequestID = c.Writer.Header().Get(entry.HeaderRequestID)
	s.deps.Log.WithFields(logrus.Fields{"request_id": body.RequestID, "code": body.Code, "path": c.FullPath()}).
		Debug("administration request refused")
	if body.RetryAfterMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((body.RetryAfterMS+999)/1000, 10))
	}
	c.AbortWithStatusJSON(entry.HTTPStatus(&body), body)
}

func (s *Server) recovered(c *gin.Context, cause any) {
	s.deps.Log.WithField("panic", cause).Error("administration handler panicked")
	s.fail(c, &api.Error{Code: api.CodeInternal, Message: "internal error; see the log of the node", Ran: api.Unknown})
}

// readBody reads at most limit bytes.
func readBody(c *gin.Context, limit int64) ([]byte, *api.Error) {
	data, err := io.ReadAll(io.LimitReader(c.Request.Body, limit+1))
	switch {
	case err != nil:
		return nil, api.Refuse(api.CodeMalformed, "body", "the body could not be read; send it again")
	case int64(len(data)) > limit:
		return nil, api.Refuse(api.CodeTooLarge, "body", "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return data, nil
}

func (s *Server) readyz(c *gin.Context) {
	if !s.deps.Life.Ready() {
		c.String(http.StatusServiceUnavailable, "%s: %s\n", s.deps.Life.State(), s.readinessReason())
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// metrics serves the metrics of the node without authentication; their labels name no data of a team but groups.
func (s *Server) metrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	s.deps.Metrics.WritePrometheus(c.Writer)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
