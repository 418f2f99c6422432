package routing

import (
	"fmt"
	"math"
	"strings"
)

// FieldError reports an invalid field of a configuration. Field is its path, Problem says what is wrong or required.
type FieldError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return "configuration: " + e.Field + ": " + e.Problem }

// Validate returns a *FieldError for the first invalid field of the configuration, or nil.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return &FieldError{"version", "must be a whole number above 0"}
	}
	services := make(map[string]bool, len(c.Services))
	for i, s := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		switch {
		case s.Name == "":
			return &FieldError{field + ".name", "must not be empty"}
		case services[s.Name]:
			return &FieldError{field + ".name", "names service " + s.Name + " twice"}
		case s.MaxConnections < 1:
			return &FieldError{field + ".max_connections", "must be 1 or more"}
		}
		services[s.Name] = true
	}
	routeKeys := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		if err := r.validate(field, services); err != nil {
			return err
		}
		key := r.Host + " " + r.Prefix
		if routeKeys[key] {
			return &FieldError{field, "repeats host and prefix of another route"}
		}
		routeKeys[key] = true
	}
	return nil
}

func (r *Route) validate(field string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return &FieldError{field + ".host", "must not be empty"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &FieldError{field + ".prefix", "must begin and end with a slash"}
	case r.Kind != Idempotent && r.Kind != NonIdempotent:
		return &FieldError{field + ".kind", fmt.Sprintf("%q is neither idempotent nor non_idempotent", r.Kind)}
	case r.MaxTargets < 1:
		return &FieldError{field + ".attempts", "must be 1 or more"}
	case r.Timeout <= 0:
		return &FieldError{field + ".timeout", "must be above 0"}
	}
	if err := r.validateDestination(field); err != nil {
		return err
	}
	for _, name := range r.Services() {
		if !services[name] {
			return &FieldError{field, fmt.Sprintf("service %q is not listed under services", name)}
		}
	}
	return nil
}

func (r *Route) validateDestination(field string) error {
	destinations := 0
	for _, present := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if present {
			destinations++
		}
	}
	if destinations != 1 {
		return &FieldError{field, "must have exactly one of service, split and gather"}
	}
	for i, s := range r.Split {
		if !(s.Weight >= 0) || math.IsInf(s.Weight, 0) {
			return &FieldError{fmt.Sprintf("%s.split[%d].weight", field, i), "must be 0 or more"}
		}
	}
	if len(r.Gather) == 0 {
		return nil
	}
	seen := make(map[string]bool, len(r.Gather))
	for _, name := range r.Gather {
		if seen[name] {
			return &FieldError{field + ".gather", "names shard " + name + " twice"}
		}
		seen[name] = true
	}
	switch {
	case r.Kind != Idempotent:
		return &FieldError{field + ".kind", "a route that gathers must be idempotent"}
	case r.TopK < 1:
		return &FieldError{field + ".records", "must be 1 or more"}
	case !(r.MinShare >= 0 && r.MinShare <= 1):
		return &FieldError{field + ".min_share", "must be between 0 and 1"}
	}
	return nil
}
