package query

import (
	"sync"

	"github.com/medlarshunt/medlarshunt/internal/hedge"
)

// RetryBudget is the operators' limit on the extra attempts that reach a service. In any window and over all nodes, at most
// Ratio times the number of its requests plus Slack are allowed.
type RetryBudget struct {
	Ratio float64
	Slack float64
}

const (
	// ratioUtilization is the fraction of RetryBudget.Ratio that nodes spend. The rest covers attempts that arrive in another
	// window than the one in which their requests are counted.
	ratioUtilization = 0.95
	// slackUtilization is the fraction of RetryBudget.Slack that the token buckets of all nodes hold together.
	slackUtilization = 0.85
	// unseenNodes is the number of nodes assumed to exist that this node has not discovered yet.
	unseenNodes = 1
)

// budgets holds this node's part of the retry budget of each service. Nodes share no state: a node earns tokens with its
// own first attempts, and its part of the slack follows from the largest number of nodes that it has seen. mu guards the
// fields below it.
type budgets struct {
	limit     RetryBudget
	bootstrap bool // the whole system starts for the first time: no earlier process has spent tokens

	mu        sync.Mutex
	maxNodes  int
	byService map[string]*hedge.Budget
}

func newBudgets(limit RetryBudget, bootstrap bool) *budgets {
	return &budgets{limit: limit, bootstrap: bootstrap, maxNodes: 1, byService: map[string]*hedge.Budget{}}
}

// budget returns the budget of a service. It starts empty, so that a restarted node does not get the tokens a second time
// that its previous process has spent. Only the first start of the whole system fills it.
func (b *budgets) budget(service string) *hedge.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	serviceBudget := b.byService[service]
	if serviceBudget == nil {
		serviceBudget = hedge.NewEmptyBudget(b.limit.Ratio*ratioUtilization, b.burst())
		if b.bootstrap && b.maxNodes > 1 {
			serviceBudget.Fill()
		}
		b.byService[service] = serviceBudget
	}
	return serviceBudget
}

// burst returns the part of the slack that one node may hold. The caller must hold mu.
func (b *budgets) burst() float64 {
	return max(1, b.limit.Slack*slackUtilization/float64(b.maxNodes+unseenNodes))
}

// raiseMaxNodes takes over a larger number of nodes. A smaller one is ignored: nodes that are cut off still spend.
func (b *budgets) raiseMaxNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.maxNodes {
		return
	}
	b.maxNodes = n
	for _, budget := range b.byService {
		budget.SetBurst(b.burst())
	}
}
