package questionnaire_test

import (
	"os"
	"testing"

	"github.com/medlarshunt/medlarshunt/internal/questionnaire"
)

// FuzzCheck guards against panics on any file, against problems without a position or an accepted value, and against
// accepted answers from which no valid documents can be generated.
func FuzzCheck(f *testing.F) {
	for _, team := range []string{"dental", "rota"} {
		data, err := os.ReadFile("../../examples/" + team + "/answers.yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("team: a\ndomains: [{name: b, region: c}]\ngroups:\n- {name: d, policy: latency_first, slots: 1, connections: 24, placement: {hosts: {b: 127.0.0.1}, first_port: 9}}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, problems := questionnaire.Check(questionnaire.File{Name: "f", Data: data})
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" || p.Want == "" {
				t.Fatalf("incomplete problem %+v", p)
			}
		}
		if (set == nil) == (len(problems) == 0) {
			t.Fatalf("set %v with problems %v", set != nil, problems)
		}
		if set == nil {
			return
		}
		p, err := questionnaire.Generate(set, questionnaire.Options{})
		if err != nil {
			t.Fatalf("accepted answers do not generate: %v", err)
		}
		if _, err := p.Values(); err != nil {
			t.Fatal(err)
		}
	})
}
