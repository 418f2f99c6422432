package configservice

// Paths of the platform protocol. A key follows the prefix and may contain slashes.
const (
	PathValues    = "/v1/values/"
	PathWatch     = "/v1/watch/"
	PathInstances = "/v1/instances"
)

// Query parameters of a watch. A 204 response means that the value did not change within the timeout.
const (
	ParamAfter     = "after"
	ParamTimeoutMS = "timeout_ms"
)

// ErrorBody is the body of a response with an error status: 404, 429 or 5xx.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}
