package query

import (
	"sync"

	"github.com/medlarshunt/medlarshunt/internal/hedge"
)

// BudgetRule is the operators' bound on extra arrivals at a service: in any window, over all nodes, at most Share of the
// requests for it and Slack beyond.
type BudgetRule struct {
	Share float64
	Slack float64
}

const (
	// budgetShare is the part of the allowed share that nodes spend. The rest covers arrivals that are counted in another
	// window than their requests.
	budgetShare = 0.95
	// slackShare is the part of the allowed slack that all nodes together hold in their buckets.
	slackShare = 0.85
	// nodesMargin is the number of nodes that may exist without this node having heard of them.
	nodesMargin = 1
)

// budgets holds this node's part of the retry budget of each service. No state is shared: a node's share follows from its
// own first attempts, and its part of the slack from the largest number of nodes that it has heard of. mu guards all
// fields below.
type budgets struct {
	rule  BudgetRule
	first bool // the whole system starts for the first time: no predecessor has spent anything

	mu        sync.Mutex
	nodes     int
	byService map[string]*hedge.Budget
}

func newBudgets(rule BudgetRule, first bool) *budgets {
	return &budgets{rule: rule, first: first, nodes: 1, byService: map[string]*hedge.Budget{}}
}

// budget returns the budget of a service. It starts empty, because a restarted node must not have the tokens of its
// predecessor again; only the first start of the whole system fills it.
func (b *budgets) budget(service string) *hedge.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.byService[service]
	if have == nil {
		have = hedge.NewEmptyBudget(b.rule.Share*budgetShare, b.burst())
		if b.first && b.nodes > 1 {
			have.Fill()
		}
		b.byService[service] = have
	}
	return have
}

// burst is the part of the slack that one node may hold. The caller holds mu.
func (b *budgets) burst() float64 {
	return max(1, b.rule.Slack*slackShare/float64(b.nodes+nodesMargin))
}

// setNodes follows the number of nodes. It never falls: nodes that are cut off still spend.
func (b *budgets) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.nodes {
		return
	}
	b.nodes = n
	for _, budget := range b.byService {
		budget.SetBurst(b.burst())
	}
}
