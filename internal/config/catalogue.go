package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Validate returns every fault of the catalogue in one *InvalidError, or nil. It does not refer to a document: the
// two are published separately, so each must be acceptable in any order. CheckCatalogue compares them.
func (c Catalogue) Validate() error {
	var v faults
	if c.Version.IsZero() {
		v.add("version", FaultRequired, "an epoch or number above 0", "is missing")
	}
	seen := map[string]string{}
	for i := range c.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		v.checkName(path+".group", c.Groups[i].Group)
		v.checkUnique(seen, path+".group", c.Groups[i].Group)
		v.checkIndexVersions(path, &c.Groups[i])
	}
	return v.err("catalogue")
}

func (fs *faults) checkIndexVersions(path string, g *GroupCatalogue) {
	known := map[uint64]bool{}
	for i := range g.Maps {
		m := &g.Maps[i]
		mapPath := fmt.Sprintf("%s.maps[%d]", path, i)
		if m.Version == 0 {
			fs.add(mapPath+".version", FaultRequired, "a number above 0", "is missing")
		} else if known[m.Version] {
			fs.add(mapPath+".version", FaultDuplicate, "a version that is used once", "version %d is already used", m.Version)
		}
		known[m.Version] = true
		fs.checkAssignments(mapPath, m.Assignments)
	}
	var last uint64
	for i, version := range g.Versions {
		versionPath := fmt.Sprintf("%s.versions[%d]", path, i)
		if version.Index <= last {
			fs.add(versionPath+".index", FaultConflict, "ascending numbers above 0", "%d follows %d", version.Index, last)
		}
		last = version.Index
		if !known[version.Map] {
			fs.add(versionPath+".map", FaultUnknown, "the version of one of the maps", "map %d is not listed", version.Map)
		}
	}
}

// checkAssignments records a fault for each empty or overlapping key range. Gaps are allowed: answers report them as
// missing.
func (fs *faults) checkAssignments(path string, list []Assignment) {
	if len(list) == 0 {
		fs.add(path+".assignments", FaultRequired, "at least one key range", "is empty")
	}
	order := make([]int, 0, len(list))
	for i, a := range list {
		rangePath := fmt.Sprintf("%s.assignments[%d]", path, i)
		fs.checkName(rangePath+".service", a.Service)
		if a.Range.Empty() || a.Range.To > api.KeySpaceEnd {
			fs.add(rangePath+".range", FaultRange, fmt.Sprintf("from below to, to at most %d", api.KeySpaceEnd),
				"[%d, %d) is not a key range", a.Range.From, a.Range.To)
			continue
		}
		order = append(order, i)
	}
	sort.SliceStable(order, func(i, j int) bool { return list[order[i]].Range.From < list[order[j]].Range.From })
	fs.checkOverlaps(path, list, order)
}

func (fs *faults) checkOverlaps(path string, list []Assignment, order []int) {
	for k := 1; k < len(order); k++ {
		furthest, next := list[order[k-1]], list[order[k]]
		if furthest.Range.Overlaps(next.Range) {
			fs.add(fmt.Sprintf("%s.assignments[%d].range", path, order[k]), FaultConflict, "ranges without common keys",
				"[%d, %d) overlaps [%d, %d) of service %q",
				next.Range.From, next.Range.To, furthest.Range.From, furthest.Range.To, furthest.Service)
		}
		if furthest.Range.To > next.Range.To {
			order[k] = order[k-1] // compare the next range with the one that ends last
		}
	}
}

// CheckCatalogue returns a fault for each group and service of the catalogue that the document does not have, and for
// each group of the document without an index version in the catalogue.
func CheckCatalogue(d Document, c Catalogue) error {
	var v faults
	services, listed := map[string]map[string]bool{}, map[string]bool{}
	for i := range d.Groups {
		names := map[string]bool{}
		for _, s := range d.Groups[i].Services {
			names[s.Name] = true
		}
		services[d.Groups[i].Name] = names
	}
	for i, g := range c.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		listed[g.Group] = len(g.Versions) > 0
		names, ok := services[g.Group]
		if !ok {
			v.add(path+".group", FaultUnknown, "a group of the document", "%q is not a group", g.Group)
			continue
		}
		for j, m := range g.Maps {
			v.checkAssignedServices(fmt.Sprintf("%s.maps[%d]", path, j), m, names)
		}
	}
	for _, g := range d.Groups {
		if !listed[g.Name] {
			v.add("groups", FaultMissing, "an index version for each group", "group %q has no index version", g.Name)
		}
	}
	return v.err("catalogue")
}

func (fs *faults) checkAssignedServices(path string, m PartitionMap, names map[string]bool) {
	for k, a := range m.Assignments {
		if !names[a.Service] {
			fs.add(fmt.Sprintf("%s.assignments[%d].service", path, k), FaultUnknown, "a service of the group",
				"%q is not a service of the group", a.Service)
		}
	}
}

// EncodeCatalogue returns the published bytes. The encoding is deterministic.
func EncodeCatalogue(c Catalogue) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "config: encode catalogue")
	}
	if len(data) >= maxPublishedBytes {
		var v faults
		v.add(KeyCatalogue, FaultSize, fmt.Sprintf("less than %d bytes", maxPublishedBytes), "%d bytes", len(data))
		return nil, v.err("catalogue")
	}
	return data, nil
}

// DecodeCatalogue decodes published bytes. It does not validate the catalogue.
func DecodeCatalogue(data []byte) (Catalogue, error) {
	var c Catalogue
	if err := decodeValue(KeyCatalogue, data, &c); err != nil {
		return Catalogue{}, err
	}
	return c, nil
}
