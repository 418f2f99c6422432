package routing

import (
	"fmt"
	"math"
	"strings"
)

// Fault is a mistake in a configuration. Field names where it is, Problem what would be right.
type Fault struct {
	Field   string
	Problem string
}

// Error implements error.
func (f *Fault) Error() string { return "configuration: " + f.Field + ": " + f.Problem }

// Validate returns the first fault of the configuration, or nil.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return &Fault{"version", "must be a whole number above 0"}
	}
	services := make(map[string]bool, len(c.Services))
	for i, s := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		switch {
		case s.Name == "":
			return &Fault{field + ".name", "must not be empty"}
		case services[s.Name]:
			return &Fault{field + ".name", "names service " + s.Name + " twice"}
		case s.MaxConnections < 1:
			return &Fault{field + ".max_connections", "must be 1 or more"}
		}
		services[s.Name] = true
	}
	places := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		if err := r.validate(field, services); err != nil {
			return err
		}
		place := r.Host + " " + r.Prefix
		if places[place] {
			return &Fault{field, "repeats host and prefix of another route"}
		}
		places[place] = true
	}
	return nil
}

func (r *Route) validate(field string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return &Fault{field + ".host", "must not be empty"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &Fault{field + ".prefix", "must begin and end with a slash"}
	case r.Kind != Idempotent && r.Kind != NonIdempotent:
		return &Fault{field + ".kind", fmt.Sprintf("%q is neither idempotent nor non_idempotent", r.Kind)}
	case r.Attempts < 1:
		return &Fault{field + ".attempts", "must be 1 or more"}
	case r.Timeout <= 0:
		return &Fault{field + ".timeout", "must be above 0"}
	}
	if err := r.validateDestination(field); err != nil {
		return err
	}
	for _, name := range r.Services() {
		if !services[name] {
			return &Fault{field, fmt.Sprintf("service %q is not listed under services", name)}
		}
	}
	return nil
}

func (r *Route) validateDestination(field string) error {
	set := 0
	for _, present := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if present {
			set++
		}
	}
	if set != 1 {
		return &Fault{field, "must have exactly one of service, split and gather"}
	}
	for i, s := range r.Split {
		if !(s.Weight >= 0) || math.IsInf(s.Weight, 0) {
			return &Fault{fmt.Sprintf("%s.split[%d].weight", field, i), "must be 0 or more"}
		}
	}
	if len(r.Gather) == 0 {
		return nil
	}
	seen := make(map[string]bool, len(r.Gather))
	for _, name := range r.Gather {
		if seen[name] {
			return &Fault{field + ".gather", "names shard " + name + " twice"}
		}
		seen[name] = true
	}
	switch {
	case r.Kind != Idempotent:
		return &Fault{field + ".kind", "a route that gathers must be idempotent"}
	case r.TopK < 1:
		return &Fault{field + ".records", "must be 1 or more"}
	case !(r.MinShare >= 0 && r.MinShare <= 1):
		return &Fault{field + ".min_share", "must be between 0 and 1"}
	}
	return nil
}
