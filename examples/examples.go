// Package examples embeds the answers of the first two users, for the load command and the tests.
package examples

import (
	"embed"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/questionnaire"
)

//go:embed */answers.yaml
var files embed.FS

// Names returns the names of the examples.
func Names() []string { return []string{"dental", "rota"} }

// Key returns the development API key of a caller in an example.
func Key(example, caller string) string { return example + "-" + caller + "-key" }

// Load checks the answers of an example and generates the documents to publish from them.
func Load(name string) (*questionnaire.Published, error) {
	path := name + "/answers.yaml"
	data, err := files.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "example %q: use one of %v", name, Names())
	}
	set, problems := questionnaire.Check(questionnaire.File{Name: path, Data: data})
	if len(problems) > 0 {
		return nil, eris.Wrapf(problems, "example %s", name)
	}
	published, err := questionnaire.Generate(set, questionnaire.Options{})
	return published, eris.Wrapf(err, "generate example %s", name)
}
