package admin

import (
	"errors"
	"strconv"
	"strings"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
)

// describeFaults describes a rejection to a team. Faults in elements of other teams are only counted because their text
// quotes values of those teams.
func (s *scope) describeFaults(r configsync.Rejection) (reason string, own []Fault, others int) {
	var invalid *config.InvalidError
	if !errors.As(r.Err, &invalid) {
		return "the " + r.Kind + " could not be read; the log of the node says why", nil, 0
	}
	for _, f := range invalid.Faults {
		if !s.maySee(r, f) {
			others++
			continue
		}
		if strings.HasPrefix(f.Path, "callers[") && f.Code == config.FaultConflict {
			f.Message = "names a group that is not the team's" // the original message names the other team
		}
		own = append(own, Fault{Path: f.Path, Code: f.Code, Message: f.Message, Want: f.Want})
	}
	return "the " + r.Kind + " is invalid; correct the answers and publish a higher version", own, others
}

// maySee reports whether a fault concerns only this team or no team. It checks both paths of a duplicate because its
// message quotes the values at both.
func (s *scope) maySee(r configsync.Rejection, f config.Fault) bool {
	for _, path := range []string{f.Path, f.Other} {
		if team, known := s.teamOf(r, path); !known || team != "" && team != s.caller.Team {
			return false
		}
	}
	return true
}

// teamOf returns the team that owns the element at path, or "" for elements that all teams share. It reports false if
// the team cannot be determined.
func (s *scope) teamOf(r configsync.Rejection, path string) (team string, known bool) {
	list, i, ok := parseElement(path)
	if !ok {
		return "", path == "" || path == "version"
	}
	switch {
	case list == "domains":
		return "", true
	case r.Document != nil && list == "groups" && i < len(r.Document.Groups):
		return r.Document.Groups[i].Team, r.Document.Groups[i].Team != ""
	case r.Document != nil && list == "callers" && i < len(r.Document.Callers):
		return r.Document.Callers[i].Team, r.Document.Callers[i].Team != ""
	case r.Catalogue != nil && list == "groups" && i < len(r.Catalogue.Groups):
		g, ok := s.view.Group(r.Catalogue.Groups[i].Group)
		if !ok {
			return "", false
		}
		return g.Team, true
	}
	return "", false
}

// parseElement returns the list and the index at the start of a path such as groups[3].name.
func parseElement(path string) (list string, index int, ok bool) {
	list, rest, found := strings.Cut(path, "[")
	number, _, closed := strings.Cut(rest, "]")
	index, err := strconv.Atoi(number)
	return list, index, found && closed && err == nil && index >= 0
}
