package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/questionnaire"
)

// answersFileName is the file name of the request body in the positions of problems.
const answersFileName = "answers.yaml"

// Checked is the result of validating answers.
type Checked struct {
	Valid    bool      `json:"valid"`
	Problems []Problem `json:"problems"`
}

// Problem is one invalid answer.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field"`
	Message string `json:"message"`
	Want    string `json:"want"`
}

// Generated holds the documents for a team's answers. They contain this team only, so they show what would change but
// must not be published: operators generate what they publish from the answers of all teams.
type Generated struct {
	Checked
	Version          config.Version             `json:"version"`
	CatalogueVersion config.Version             `json:"catalogue_version"`
	Documents        map[string]json.RawMessage `json:"documents,omitempty"`
	Changes          []string                   `json:"changes"`
}

func (s *Server) handleCheck(c *gin.Context) {
	_, checked, refusal := readAnswers(c)
	if refusal != nil {
		s.writeError(c, refusal)
		return
	}
	c.JSON(http.StatusOK, checked)
}

// readAnswers reads and validates the answers in the body. The set is nil when there are problems.
func readAnswers(c *gin.Context) (*questionnaire.Set, Checked, *api.Error) {
	data, refusal := readBody(c, questionnaire.MaxFileBytes)
	if refusal != nil {
		return nil, Checked{}, refusal
	}
	set, problems := questionnaire.Check(questionnaire.File{Name: answersFileName, Data: data})
	return set, newChecked(problems), nil
}

// newChecked converts the problems of the questionnaire into an answer.
func newChecked(problems questionnaire.Problems) Checked {
	out := Checked{Valid: len(problems) == 0, Problems: []Problem{}}
	for _, p := range problems {
		out.Problems = append(out.Problems, Problem{Line: p.Line, Column: p.Column, Field: p.Field, Message: p.Message, Want: p.Want})
	}
	return out
}

func (s *Server) handleGenerate(c *gin.Context) {
	set, checked, refusal := readAnswers(c)
	if refusal == nil && checked.Valid {
		refusal = scopeOf(c).checkAnswersTeam(set)
	}
	if refusal != nil {
		s.writeError(c, refusal)
		return
	}
	out := Generated{Checked: checked, Changes: []string{}}
	if checked.Valid {
		err := s.generateInto(&out, scopeOf(c), set)
		var unsafe questionnaire.Problems
		if errors.As(err, &unsafe) {
			out.Checked = newChecked(unsafe)
		} else if err != nil {
			s.writeError(c, s.generateError(err))
			return
		}
	}
	c.JSON(http.StatusOK, out)
}

// generateError converts an error of the questionnaire into an API error. Valid answers can still contradict what is
// published, for example a partition map that names services that the answers no longer have.
func (s *Server) generateError(err error) *api.Error {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return api.NewRefusal(api.CodeMalformed, "body", "the answers do not fit what is published, correct them or state the index: "+invalid.Error())
	}
	s.deps.Log.WithError(err).Error("cannot generate documents from valid answers")
	return &api.Error{Code: api.CodeInternal, Message: "the documents could not be generated; see the log of the node", Outcome: api.OutcomeNotRun}
}

// checkAnswersTeam refuses answers of another team.
func (s *scope) checkAnswersTeam(set *questionnaire.Set) *api.Error {
	for _, a := range set.Teams {
		if a.Team != s.caller.Team {
			return api.NewRefusal(api.CodeForbidden, "team", "the answers must be those of team "+s.caller.Team)
		}
	}
	return nil
}

// generateInto generates the documents of the set and compares them with the team's published ones.
func (s *Server) generateInto(out *Generated, sc *scope, set *questionnaire.Set) error {
	previous, err := s.publishedPart(sc)
	if err != nil {
		return err
	}
	next, err := questionnaire.Generate(set, questionnaire.Options{Previous: previous})
	if err != nil {
		return err
	}
	changes, err := questionnaire.Diff(previous, next)
	if err != nil {
		return err
	}
	values, err := next.Values()
	if err != nil {
		return err
	}
	for _, change := range changes {
		out.Changes = append(out.Changes, change.String())
	}
	out.Version, out.CatalogueVersion = next.Manifest.Version, next.Catalogue.Version
	out.Documents = make(map[string]json.RawMessage, len(values))
	for key, data := range values {
		out.Documents[key] = data
	}
	return nil
}

// publishedPart returns the team's part of the configuration in force as if it had been published alone.
func (s *Server) publishedPart(sc *scope) (*questionnaire.Published, error) {
	d := config.Document{Version: sc.view.Version(), Domains: sc.domains()}
	for _, g := range sc.groups() {
		d.Groups = append(d.Groups, *g)
	}
	d.Callers = slices.DeleteFunc(slices.Clone(sc.view.Document().Callers), func(caller config.Caller) bool { return caller.Team != sc.caller.Team })
	p := &questionnaire.Published{Document: d}
	if cat := s.deps.Config.Current().Catalogue; cat != nil {
		p.Catalogue = config.Catalogue{Version: cat.Version, Groups: sc.catalogue(cat)}
	}
	var err error
	p.Manifest, p.Parts, err = config.Split(d)
	return p, err
}
