package admin

import _ "embed"

// OpenAPI is the OpenAPI description of the administration API and the caller API.
//
//go:embed openapi.yaml
var OpenAPI []byte
