package questionnaire_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/questionnaire"
)

func TestQuestionnaire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "questionnaire")
}

func readExample(team string) questionnaire.File {
	GinkgoHelper()
	data, err := os.ReadFile("../../examples/" + team + "/answers.yaml")
	Expect(err).NotTo(HaveOccurred())
	return questionnaire.File{Name: team + ".yaml", Data: data}
}

// editedDentalExample returns the dental example with the first occurrence of old replaced by new.
func editedDentalExample(old, new string) questionnaire.File {
	GinkgoHelper()
	f := readExample("dental")
	Expect(string(f.Data)).To(ContainSubstring(old))
	f.Data = []byte(strings.Replace(string(f.Data), old, new, 1))
	return f
}

func generate(opts questionnaire.Options, files ...questionnaire.File) *questionnaire.Published {
	GinkgoHelper()
	set, problems := questionnaire.Check(files...)
	Expect(problems).To(BeEmpty())
	p, err := questionnaire.Generate(set, opts)
	Expect(err).NotTo(HaveOccurred())
	return p
}

func values(p *questionnaire.Published) map[string][]byte {
	GinkgoHelper()
	v, err := p.Values()
	Expect(err).NotTo(HaveOccurred())
	return v
}

// Guards against examples that differ from the sizes in section 2.1 of the design page.
var _ = DescribeTable("examples", func(team, group string, services, targets, slots, connections int, policy config.Policy) {
	p := generate(questionnaire.Options{}, readExample(team))
	g, ok := config.NewIndex(p.Document).Group(group)
	Expect(ok).To(BeTrue())
	total, domains := 0, map[string]bool{}
	for _, s := range g.Services {
		total += len(s.Targets)
		for _, t := range s.Targets {
			domains[t.Domain] = true
		}
	}
	Expect([]int{len(g.Services), total, len(domains), g.SlotsPerTarget, g.ConnectionLimit}).
		To(Equal([]int{services, targets, 3, slots, connections}))
	Expect(g.Policy).To(Equal(policy))
	Expect(p.Document.Domains).To(HaveLen(3))
	Expect(p.Document.Groups).To(HaveLen(4))
},
	Entry(nil, "dental", "field-charts", 10, 30, 2, 25, config.CoverageFirst),
	Entry(nil, "dental", "yard-rotas", 15, 45, 2, 25, config.CoverageFirst),
	Entry(nil, "dental", "owner-desk", 1, 5, 6, 110, config.CoverageFirst),
	Entry(nil, "dental", "stable-ledger", 1, 3, 6, 110, config.CoverageFirst),
	Entry(nil, "rota", "desk-staffing", 10, 30, 3, 30, config.LatencyFirst),
	Entry(nil, "rota", "rest-hours", 15, 45, 3, 30, config.LatencyFirst),
	Entry(nil, "rota", "payroll", 1, 7, 6, 50, config.LatencyFirst),
	Entry(nil, "rota", "broadcaster-planner", 1, 3, 6, 50, config.LatencyFirst),
)

// Guards against problems that are reported at the wrong position, without an accepted value, more than once, or not at all
// because of another problem.
var _ = DescribeTable("Check reports", func(old, new string, want ...string) {
	set, problems := questionnaire.Check(editedDentalExample(old, new))
	Expect(set).To(BeNil())
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	matchers := make([]any, len(want))
	for i, w := range want {
		matchers[i] = HavePrefix(w)
	}
	Expect(lines).To(ConsistOf(matchers...))
},
	Entry("an unknown field with the closest name, and the missing one", "    slots: 2", "    slot: 2",
		`dental.yaml:20:5: groups[0].slots: is missing; want`,
		`dental.yaml:22:5: groups[0].slot: "slot" is not a known field; want "slots" or another of canary,`),
	Entry("an unknown domain of a placement, once", "{gobabis: 127.1.0.1", "{gobabi: 127.1.0.1",
		`dental.yaml:26:23: groups[0].placement.hosts.gobabi: "gobabi" is not a failure domain; want the name of one of`),
	Entry("a fault of a default at the default", "goal: 1s", "goal: 3s",
		`dental.yaml:13:43: defaults.timeouts.goal: 3000 ms is above the default timeout of 2000 ms; want at most`),
	Entry("a time without unit, once for all groups", "goal: 1s", "goal: 1000",
		`dental.yaml:13:43: defaults.timeouts.goal: "1000" is not a duration; want a duration above 0 in whole`),
	Entry("a fraction of a millisecond", "goal: 1s", "goal: 1500us", `dental.yaml:13:43: defaults.timeouts.goal: "1500us" is not`),
	Entry("too few connections for the relays", "connections: 25", "connections: 5",
		`dental.yaml:23:18: groups[0].connections: 5 connections leave none for each of 3 relays; want at least 6, twice`),
	Entry("overlapping ports, with the first use", "first_port: 21100", "first_port: 21005",
		`dental.yaml:38:24: groups[1].placement.hosts.gobabis: "127.1.0.1:21005" is already used at dental.yaml:26:24 (groups[0].placement.hosts.gobabis);`,
		`dental.yaml:38:48: groups[1].placement.hosts.otjiwarongo: "127.1.0.2:21005"`,
		`dental.yaml:38:70: groups[1].placement.hosts.mariental: "127.1.0.3:21005"`),
	Entry("ports above 65535, without consequential problems", "first_port: 21000", "first_port: 65530",
		`dental.yaml:25:19: groups[0].placement.first_port: the last port would be 65539; want at most 65526`),
	Entry("a kind with two weights", "{name: emergency, weight: 10}\n  - name: dental", "{name: emergency, weight: 3}\n  - name: dental",
		`dental.yaml:71:35: callers[1].kinds[0].weight: kind "emergency" has weight 10 at callers[0].kinds[0]`),
	Entry("an invalid group name, without consequential problems", "name: field-charts", "name: Field-charts",
		`dental.yaml:20:11: groups[0].name: "Field-charts" is not an identifier`, `dental.yaml:67:14: callers[1].groups[0]: "field-charts" is not`),
	Entry("an unknown group", "groups: [field-charts, yard-rotas]", "groups: [field-chart]",
		`dental.yaml:67:14: callers[1].groups[0]: "field-chart" is not a group`),
	Entry("a map without its service", "ranges: even", "ranges: [{service: x, from: 0, to: 5}]",
		`dental.yaml:29:46: groups[0].index.maps[0].ranges[0].service: "x" is not a service of the group`),
	Entry("overlapping ranges", "ranges: even",
		"ranges: [{service: field-charts-0, from: 0, to: 5}, {service: field-charts-1, from: 4, to: 9}]",
		`dental.yaml:29:79: groups[0].index.maps[0].ranges[1]: [4, 9) overlaps [0, 5)`),
	Entry("kinds of an administrator", "    role: admin\n", "    role: admin\n    kinds: [{name: x, weight: -1}]\n",
		`dental.yaml:72:5: callers[2].kinds: administrators send no requests; want`),
	Entry("a repeated field", "    slots: 2", "    slots: 2\n    slots: 3", `dental.yaml:23:5: groups[0].slots: is repeated`),
	Entry("an alias", "slots: 2", "slots: &a 2\n    connections: *a\n    commands: false #",
		`dental.yaml:23:18: groups[0].connections: aliases are not supported`, `dental.yaml:25:5: groups[0].connections: is repeated`),
	Entry("an empty value", "region: omaheke,", "region: ,", `dental.yaml:6:52: domains[0].region: has no value; want`),
	Entry("broken YAML", "defaults:\n", "defaults: [\n", `dental.yaml:11:1: did not find expected ',' or ']'; want valid YAML`),
	Entry("a tab as indentation", "  - name: yard-rotas", "\t- name: yard-rotas", `dental.yaml:31:1: found character that cannot start any token`),
	Entry("a second document", "defaults:\n", "---\nteam: x\n---\n",
		`dental.yaml:3:1: groups: is missing`, `dental.yaml:11:1: a second document starts here; want one YAML document`),
)

var _ = Describe("Generate", func() {
	// Guards against output that depends on map order, on the order of files or on the order of groups in a file.
	It("gives the same bytes for the same answers", func() {
		want := values(generate(questionnaire.Options{}, readExample("dental"), readExample("rota")))
		for range 5 {
			Expect(values(generate(questionnaire.Options{}, readExample("rota"), readExample("dental")))).To(Equal(want))
		}
	})

	It("orders elements by name", func() {
		f := readExample("dental")
		section, callers, _ := strings.Cut(string(f.Data), "\ncallers:")
		head, first, _ := strings.Cut(section, "  - name: field-charts")
		first, rest, _ := strings.Cut(first, "  - name: yard-rotas")
		moved := questionnaire.File{Name: f.Name, Data: []byte(head + "  - name: yard-rotas" + rest +
			"\n  - name: field-charts" + first + "\ncallers:" + callers)}
		Expect(values(generate(questionnaire.Options{}, moved))).To(Equal(values(generate(questionnaire.Options{}, f))))
	})

	// Guards against two files that describe one team or one failure domain differently, also when another file is between
	// them.
	It("refuses files that contradict each other", func() {
		other := editedDentalExample("display_name: Gobabis", "display_name: Other")
		other.Name = "other.yaml"
		_, problems := questionnaire.Check(readExample("dental"), readExample("rota"), other)
		Expect(problems.Error()).To(ContainSubstring(`other.yaml:3:7: team: team "dental" is also described in dental.yaml`))
		other.Data = []byte(strings.Replace(string(other.Data), "team: dental", "team: zebra", 1))
		_, problems = questionnaire.Check(other, readExample("rota"), readExample("dental"))
		Expect(problems.Error()).To(ContainSubstring(`other.yaml:6:5: domains[0]: failure domain "gobabis" differs from that in dental.yaml`))
	})

	// Guards against a changed document that nodes ignore because its version is unchanged, and against a new version of an
	// unchanged document.
	It("raises only the version of what changed", func() {
		first := generate(questionnaire.Options{}, readExample("dental"))
		again := generate(questionnaire.Options{Previous: first}, readExample("dental"))
		Expect(values(again)).To(Equal(values(first)))
		changed := generate(questionnaire.Options{Previous: first}, editedDentalExample("slots: 2", "slots: 3"))
		Expect(changed.Manifest.Version).To(Equal(config.Version{Epoch: 1, Number: 2}))
		Expect(changed.Catalogue.Version).To(Equal(first.Catalogue.Version))
		epoch := generate(questionnaire.Options{Previous: changed, Epoch: 3}, readExample("dental"))
		Expect(epoch.Manifest.Version).To(Equal(config.Version{Epoch: 3, Number: 1}))
		set, _ := questionnaire.Check(readExample("dental"))
		_, err := questionnaire.Generate(set, questionnaire.Options{Previous: epoch, Epoch: 2})
		Expect(err).To(MatchError("questionnaire: epoch 2 is below the published epoch 3"))
	})

	// Guards against a publication during which nodes with the old and nodes with the new document together exceed a target's
	// limit, and against advice that leads to a publication that is rejected or invalid.
	DescribeTable("rejects an unsafe change of max_relays and states what to publish first", func(from, to, step, text string) {
		relays := func(n string) string { return "region: omaheke, max_relays: " + n + "}" }
		answers := func(n, low, high string) questionnaire.File {
			f := editedDentalExample(relays("3"), relays(n))
			f.Data = []byte(strings.NewReplacer("connections: 25", "connections: "+low, "connections: 110", "connections: "+high).
				Replace(string(f.Data)))
			return f
		}
		published := generate(questionnaire.Options{}, answers(from, "25", "110"))
		set, problems := questionnaire.Check(answers(to, "25", "110"))
		Expect(problems).To(BeEmpty())
		_, err := questionnaire.Generate(set, questionnaire.Options{Previous: published})
		Expect(err).To(BeAssignableToTypeOf(questionnaire.Problems{}))
		Expect(err.Error()).To(HavePrefix("dental.yaml:6:73: domains[0].max_relays: " + text))
		if step == "" {
			return
		}
		smaller := min(from, to)
		Expect(err.Error()).To(ContainSubstring(
			"want max_relays " + smaller + " and at most " + step + ` connections for "field-charts" published first`))
		Expect(err.Error()).To(ContainSubstring(`at most 41 connections for "owner-desk"`))
		first := generate(questionnaire.Options{Previous: published}, answers(smaller, step, "41"))
		generate(questionnaire.Options{Previous: first}, answers(to, "25", "110"))
	},
		Entry("more relays", "3", "9", "17", `changing max_relays from 3 to 9 is unsafe for the targets of "field-charts"`),
		Entry("fewer relays", "9", "3", "17", `changing max_relays from 9 to 3 is unsafe`),
		Entry("another candidate set", "20", "30", "", "changing max_relays from 20 to 30 is unsafe"),
	)

	// Guards against old answers that remove index versions published since.
	It("keeps published index versions of groups without an index", func() {
		first := generate(questionnaire.Options{}, readExample("dental"))
		for i := range first.Catalogue.Groups {
			if g := &first.Catalogue.Groups[i]; g.Group == "yard-rotas" {
				g.Versions = append(g.Versions, config.IndexVersion{Index: 9, Map: 1})
			}
		}
		next := generate(questionnaire.Options{Previous: first}, readExample("dental"))
		Expect(next.Catalogue).To(Equal(first.Catalogue))
	})

	It("writes what it reads back, and shows the changes", func() {
		dir := GinkgoT().TempDir()
		first := generate(questionnaire.Options{}, readExample("dental"))
		Expect(first.WriteDir(dir)).To(Succeed())
		read, err := questionnaire.ReadDir(os.DirFS(dir))
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(first))
		changes, err := questionnaire.Diff(read,
			generate(questionnaire.Options{Previous: read}, editedDentalExample("slots: 2", "slots: 3")))
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(Equal([]questionnaire.Change{
			{Op: "~", Path: "document.groups[field-charts].slots_per_target", Before: "2", After: "3"},
			{Op: "~", Path: "document.version.number", Before: "1", After: "2"},
		}))
		changes, err = questionnaire.Diff(nil, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(ContainElement(HaveField("Path", "document.groups[owner-desk]")))
	})
})

// Guards against documentation whose examples Check rejects, or whose reported problems differ from those of Check.
var _ = Describe("docs/questionnaire.md", func() {
	It("shows what Check does", func() {
		data, err := os.ReadFile("../../docs/questionnaire.md")
		Expect(err).NotTo(HaveOccurred())
		blocks := regexp.MustCompile("(?s)```(?:yaml|text)\n(.*?)```").FindAllSubmatch(data, -1)
		Expect(blocks).To(HaveLen(3))
		generate(questionnaire.Options{}, questionnaire.File{Name: "example.yaml", Data: blocks[0][1]})
		_, problems := questionnaire.Check(questionnaire.File{Name: "wrong.yaml", Data: blocks[1][1]})
		Expect(problems.Error() + "\n").To(Equal(string(blocks[2][1])))
	})
})
