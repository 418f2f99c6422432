package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
)

// Headers of the caller API.
const (
	HeaderTimeout   = "Medlarshunt-Timeout-Ms"
	HeaderTicket    = "Medlarshunt-Ticket"
	HeaderRequestID = "Medlarshunt-Request-Id"
)

const (
	// defaultMaxBodyBytes bounds a request body when the group sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// defaultTimeout applies when neither the caller nor the group sets a time budget.
	defaultTimeout = time.Second
	// defaultLimit is the largest number of hits in an answer when the caller sets no limit.
	defaultLimit = 10
	// maxRequestIDBytes bounds a request ID that a caller supplies; a longer one is replaced by a generated ID.
	maxRequestIDBytes = 64
)

// Handler returns the HTTP handler of the caller API.
func (e *Entry) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecovery(e.handlePanic))
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", e.handleReadyz)
	router.POST("/v1/groups/:group/search", e.handleSearch)
	router.POST("/v1/groups/:group/commands", e.handleCommand)
	router.NoRoute(func(c *gin.Context) {
		e.writeError(c, api.NewRefusal(api.CodeMalformed, "path", "use POST /v1/groups/{group}/search or /v1/groups/{group}/commands"))
	})
	return router
}

func (e *Entry) handlePanic(c *gin.Context, cause any) {
	e.deps.Panics.Record("request of a caller", cause, logrus.Fields{"path": c.Request.URL.Path})
	e.writeError(c, &api.Error{Code: api.CodeInternal, Message: "internal error", Outcome: api.OutcomeUnknown})
}

func (e *Entry) handleReadyz(c *gin.Context) {
	if !e.deps.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// request holds what searches and commands have in common.
type request struct {
	id     string
	caller *config.Caller
	group  *config.Group
	budget time.Duration
	start  time.Time
	body   []byte
}

// beginRequest authenticates the caller and validates the parts of a request that searches and commands share.
func (e *Entry) beginRequest(c *gin.Context, ready func() bool) (*request, *api.Error) {
	r := &request{start: time.Now(), id: requestID(c)}
	c.Header(HeaderRequestID, r.id)
	if !ready() {
		return nil, api.NewRefusal(api.CodeNotReady, "", "this node takes no new work; use another one").WithRetryAfter(time.Second)
	}
	view := e.deps.Topology.View()
	if view == nil {
		return nil, api.NewRefusal(api.CodeNotReady, "", "this node has no configuration yet").WithRetryAfter(time.Second)
	}
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, api.NewRefusal(api.CodeUnknownCaller, "Authorization", "send the caller's key as a bearer token")
	}
	caller, ok := view.CallerByKey(key)
	if !ok || caller.Role != config.RoleCaller {
		return nil, api.NewRefusal(api.CodeUnknownCaller, "Authorization", "no caller has this key")
	}
	group, ok := view.Group(c.Param("group"))
	if !ok {
		return nil, api.NewRefusal(api.CodeUnknownGroup, "group", "no group has this name")
	}
	if !caller.MayUse(group.Name) {
		return nil, api.NewRefusal(api.CodeForbidden, "group", "this caller may not use the group")
	}
	r.caller, r.group = caller, group
	var refusal *api.Error
	if r.budget, refusal = TimeBudget(c.GetHeader(HeaderTimeout), group); refusal != nil {
		return nil, refusal
	}
	r.body, refusal = readBody(c, group, r.start.Add(r.budget))
	return r, refusal
}

// requestID returns the caller's request ID if it is valid, otherwise a generated one.
func requestID(c *gin.Context) string {
	if id := c.GetHeader(HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes && isPrintableASCII(id) {
		return id
	}
	return uuid.NewString()
}

// isPrintableASCII reports whether s consists of printable ASCII characters other than the space.
func isPrintableASCII(s string) bool {
	for _, r := range s {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}

// TimeBudget returns the time budget that the header sets, or the default if it is empty, bounded by the group's limit.
func TimeBudget(header string, g *config.Group) (time.Duration, *api.Error) {
	budget := time.Duration(g.DefaultTimeoutMS) * time.Millisecond
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms > int64(time.Hour/time.Millisecond) {
			return 0, api.NewRefusal(api.CodeMalformed, HeaderTimeout, "must be a whole number of milliseconds, at most an hour")
		}
		budget = time.Duration(ms) * time.Millisecond
	} else if budget <= 0 {
		budget = defaultTimeout
	}
	if limit := time.Duration(g.MaxTimeoutMS) * time.Millisecond; limit > 0 {
		budget = min(budget, limit)
	}
	if budget < answerReserve+api.MinAttemptBudget {
		return 0, api.NewRefusal(api.CodeNoTimeLeft, HeaderTimeout, "the time budget is too short to call any target")
	}
	return budget, nil
}

func readBody(c *gin.Context, g *config.Group, deadline time.Time) ([]byte, *api.Error) {
	limit := g.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	return ReadBody(c, limit, deadline)
}

func (e *Entry) handleSearch(c *gin.Context) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	r, refusal := e.beginRequest(c, e.deps.Ready)
	if refusal != nil {
		e.writeError(c, refusal)
		return
	}
	s, refusal := decodeSearch(r.body, r.group)
	if refusal != nil {
		e.writeError(c, refusal)
		return
	}
	s.RequestID, s.Caller, s.Group = r.id, r.caller.Name, r.group.Name
	ctx := e.deps.Tracing.Extract(c.Request.Context(), c.GetHeader("traceparent"))
	answer, refusal := e.Search(ctx, s, r.group, r.budget-time.Since(r.start))
	if refusal != nil {
		e.writeError(c, refusal)
		return
	}
	e.metrics.observeSearch(r.group.Name, time.Since(r.start), r.budget, answer.Coverage)
	c.JSON(http.StatusOK, answer)
}

// SearchBody is the body of POST /v1/groups/{group}/search.
type SearchBody struct {
	Kind  string          `json:"kind,omitempty"`
	Query json.RawMessage `json:"query"`
	Limit *int            `json:"limit,omitempty"`
	Range *api.KeyRange   `json:"range,omitempty"`
}

func decodeSearch(body []byte, g *config.Group) (api.Search, *api.Error) {
	var b SearchBody
	if refusal := DecodeStrict(body, &b); refusal != nil {
		return api.Search{}, refusal
	}
	return CheckSearch(b, g)
}

// CheckSearch validates a decoded search against the limits of the group and applies defaults.
func CheckSearch(b SearchBody, g *config.Group) (api.Search, *api.Error) {
	s := api.Search{Kind: b.Kind, Query: b.Query, Limit: defaultLimit, Range: b.Range}
	if len(b.Query) == 0 {
		return s, api.NewRefusal(api.CodeMalformed, "query", "is missing")
	}
	if refusal := checkKind(b.Kind, g); refusal != nil {
		return s, refusal
	}
	if b.Limit != nil {
		s.Limit = *b.Limit
	}
	if limit := maxLimit(g); s.Limit < 1 || s.Limit > limit {
		return s, api.NewRefusal(api.CodeMalformed, "limit", "must be from 1 to "+strconv.Itoa(limit))
	}
	if b.Range != nil && (b.Range.Empty() || b.Range.To > api.KeySpaceEnd) {
		return s, api.NewRefusal(api.CodeMalformed, "range", "must have from below to, and to at most 4294967296")
	}
	return s, nil
}

// maxLimit returns the largest number of hits that a search of the group may ask for.
func maxLimit(g *config.Group) int {
	if g.MaxLimit > 0 {
		return g.MaxLimit
	}
	return config.MaxHitLimit
}

func checkKind(kind string, g *config.Group) *api.Error {
	if kind == "" {
		return nil
	}
	for _, k := range g.Kinds {
		if k.Name == kind {
			return nil
		}
	}
	return api.NewRefusal(api.CodeMalformed, "kind", "the group has no kind of this name")
}

// CommandBody is the body of POST /v1/groups/{group}/commands.
type CommandBody struct {
	Kind string          `json:"kind,omitempty"`
	Key  *uint64         `json:"key"`
	Body json.RawMessage `json:"body"`
}

func decodeCommand(body []byte, g *config.Group) (api.Command, *api.Error) {
	var b CommandBody
	if refusal := DecodeStrict(body, &b); refusal != nil {
		return api.Command{}, refusal
	}
	switch {
	case b.Key == nil:
		return api.Command{}, api.NewRefusal(api.CodeMalformed, "key", "is missing")
	case *b.Key >= api.KeySpaceEnd:
		return api.Command{}, api.NewRefusal(api.CodeMalformed, "key", "must be below 4294967296")
	case len(b.Body) == 0:
		return api.Command{}, api.NewRefusal(api.CodeMalformed, "body", "is missing")
	}
	return api.Command{Kind: b.Kind, Key: *b.Key, Body: b.Body}, checkKind(b.Kind, g)
}

func (e *Entry) handleCommand(c *gin.Context) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	token, ready := c.GetHeader(HeaderTicket), e.deps.Ready
	if token != "" {
		ready = e.deps.AnswersTickets
	}
	r, cmd, refusal := e.beginCommand(c, ready)
	if refusal != nil {
		e.writeError(c, withUnknownOutcome(refusal, token))
		return
	}
	if token == "" {
		e.requireTicket(c)
		return
	}
	ctx := e.deps.Tracing.Extract(c.Request.Context(), c.GetHeader("traceparent"))
	result, refusal := e.Command(ctx, token, cmd, r.budget-time.Since(r.start))
	if refusal != nil {
		e.writeError(c, refusal)
		return
	}
	e.writeCommandResult(c, result)
}

// beginCommand authenticates the caller and decodes a command.
func (e *Entry) beginCommand(c *gin.Context, ready func() bool) (*request, api.Command, *api.Error) {
	r, refusal := e.beginRequest(c, ready)
	if refusal != nil {
		return nil, api.Command{}, refusal
	}
	if !acceptsCommands(r.group) {
		return nil, api.Command{}, api.NewRefusal(api.CodeForbidden, "group", "the group takes no commands")
	}
	cmd, refusal := decodeCommand(r.body, r.group)
	cmd.RequestID, cmd.Caller, cmd.Group = r.id, r.caller.Name, r.group.Name
	return r, cmd, refusal
}

// withUnknownOutcome sets the outcome to unknown in a refusal that was made before the owner of the ticket was asked:
// the command may have run when the ticket was presented before. A token that cannot be parsed as a ticket has run none.
func withUnknownOutcome(refusal *api.Error, token string) *api.Error {
	if _, err := ticket.Parse(token); err != nil {
		return refusal
	}
	r := *refusal
	r.Outcome = api.OutcomeUnknown
	return &r
}

// requireTicket refuses a command that carries no ticket and issues one with which the caller can send it again.
func (e *Entry) requireTicket(c *gin.Context) {
	token, refusal := e.IssueTicket()
	if refusal == nil {
		refusal = api.NewRefusal(api.CodeTicketRequired, HeaderTicket, "send the command again with this ticket")
		refusal.Ticket = token
		c.Header(HeaderTicket, token)
	}
	e.writeError(c, refusal)
}

func (e *Entry) writeCommandResult(c *gin.Context, r api.CommandResult) {
	if r.Outcome == api.OutcomeRan {
		c.JSON(http.StatusOK, r)
		return
	}
	e.writeError(c, &api.Error{Code: r.Code, Message: r.Message, Outcome: r.Outcome, RequestID: r.RequestID})
}

// writeError answers the request with an error.
func (e *Entry) writeError(c *gin.Context, err *api.Error) {
	body := *err
	body.RequestID = c.Writer.Header().Get(HeaderRequestID)
	e.metrics.countRefusal(body.Code)
	e.deps.Log.WithFields(logrus.Fields{"request_id": body.RequestID, "code": body.Code, "ran": body.Outcome, "field": body.Field}).Debug("request refused")
	if body.RetryAfterMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((body.RetryAfterMS+999)/1000, 10))
	}
	c.AbortWithStatusJSON(HTTPStatus(&body), body)
}

// HTTPStatus returns the HTTP status of an error.
func HTTPStatus(e *api.Error) int {
	switch e.Code {
	case api.CodeMalformed, api.CodeTicketInvalid:
		return http.StatusBadRequest
	case api.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case api.CodeUnknownGroup:
		return http.StatusNotFound
	case api.CodeUnknownCaller:
		return http.StatusUnauthorized
	case api.CodeForbidden:
		return http.StatusForbidden
	case api.CodeTicketRequired:
		return http.StatusPreconditionRequired
	case api.CodeTicketExpired, api.CodeTicketReused, api.CodeOwnerGone:
		return http.StatusConflict
	case api.CodeOverloaded:
		return http.StatusTooManyRequests
	case api.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case api.CodeInternal:
		return http.StatusInternalServerError
	case api.CodeNoTimeLeft, api.CodeTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
