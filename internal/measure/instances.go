package measure

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
)

// targetsPerNode is the ratio at the planned deployment size: 11,000 targets and 1,800 nodes.
const targetsPerNode = 6

// newInstanceList returns a list of n instances as the platform publishes it, with one node per targetsPerNode targets,
// and the addresses of the nodes.
func newInstanceList(n int) (configservice.InstanceList, []string) {
	var list configservice.InstanceList
	var nodes []string
	for i := range n {
		in := configservice.Instance{
			ID: fmt.Sprintf("instance-%05d", i), Kind: configservice.KindTarget, Domain: fmt.Sprintf("domain-%02d", i%plannedDomains),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i/62_500, i/250%250, i%250), State: configservice.InstanceLive,
			Incarnation: fmt.Sprintf("%032x", i),
		}
		if i%(targetsPerNode+1) == 0 {
			in.Kind = configservice.KindNode
			nodes = append(nodes, in.Address)
		}
		list.Instances = append(list.Instances, in)
	}
	return list, nodes
}

// measureInstanceList measures one read of the instance list, which each reader performs every second.
func measureInstanceList(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("instances on the list")
	err := o.forEachSize(ctx, o.sizes(1000, 3000, 6000, 12_800), func(size int) error {
		list, nodes := newInstanceList(size)
		data, err := json.Marshal(list)
		if err != nil {
			return eris.Wrap(err, "encode list")
		}
		t.add(size, "instance list: bytes", "KB", float64(len(data))/1e3)
		count := max(1, o.Count/100)
		var lastErr error
		t.addCost(size, "instance list: decode", measureRepeated(count, func() {
			var got configservice.InstanceList
			lastErr = json.Unmarshal(data, &got)
		}))
		if lastErr != nil {
			return eris.Wrap(lastErr, "decode list")
		}
		n, err := newLoopNetwork(1, 1)
		if err != nil {
			return err
		}
		loop := n.loops["10.1.0.0:7000"]
		t.addCost(size, "instance list: pass on known seeds", measureRepeated(count, func() { loop.AddSeeds(nodes) }))
		return nil
	})
	return t.result(), err
}
