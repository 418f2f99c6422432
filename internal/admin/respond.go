package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/entry"
)

// writeError answers the request with an error in the format of the caller API.
func (s *Server) writeError(c *gin.Context, err *api.Error) {
	body := *err
	body.RequestID = c.Writer.Header().Get(entry.HeaderRequestID)
	s.deps.Log.WithFields(logrus.Fields{"request_id": body.RequestID, "code": body.Code, "path": c.FullPath()}).
		Debug("administration request refused")
	if body.RetryAfterMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((body.RetryAfterMS+999)/1000, 10))
	}
	c.AbortWithStatusJSON(entry.HTTPStatus(&body), body)
}

func (s *Server) handlePanic(c *gin.Context, cause any) {
	s.deps.Log.WithField("panic", cause).Error("administration handler panicked")
	s.writeError(c, &api.Error{Code: api.CodeInternal, Message: "internal error; see the log of the node", Outcome: api.OutcomeUnknown})
}

// bodyTimeout bounds the reading of a body.
const bodyTimeout = 30 * time.Second

// readBody reads the body and refuses one that is longer than limit bytes.
func readBody(c *gin.Context, limit int64) ([]byte, *api.Error) {
	return entry.ReadBody(c, limit, time.Now().Add(bodyTimeout))
}

func (s *Server) handleReadyz(c *gin.Context) {
	if !s.deps.Lifecycle.Ready() {
		c.String(http.StatusServiceUnavailable, "%s: %s\n", s.deps.Lifecycle.State(), s.readinessReason())
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// handleMetrics serves the metrics of the node without authentication. Their labels contain no data of a team except
// group names.
func (s *Server) handleMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	s.deps.Metrics.WritePrometheus(c.Writer)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
