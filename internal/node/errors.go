package node

import "github.com/rotisserie/eris"

var (
	errNoRelay      = eris.New("no live relay is known in the failure domain")
	errUnknownNode  = eris.New("the node is unknown or dead")
	errDrainTimeout = eris.New("requests were still in flight at the end of the grace period")
)
