package admin_test

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/medlarshunt/medlarshunt/internal/admin"
	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/membership"
)

// schemas maps the names of the schemas in the description to the Go types whose JSON form they describe.
var schemas = map[string]any{
	"Error": api.Error{}, "Answer": api.Answer{}, "Coverage": api.Coverage{}, "MissingRange": api.MissingRange{},
	"KeyRange": api.KeyRange{}, "Snapshot": api.Snapshot{}, "Hit": api.Hit{}, "PartTrace": api.PartTrace{},
	"CommandResult": api.CommandResult{}, "Search": entry.SearchBody{}, "Command": entry.CommandBody{},

	"Status": admin.Status{}, "VersionState": admin.VersionState{}, "Groups": admin.Groups{}, "GroupSummary": admin.GroupSummary{},
	"Group": admin.Group{}, "Owners": admin.Owners{}, "Admission": admin.Admission{}, "Service": admin.Service{},
	"Target": admin.Target{}, "Instances": admin.Instances{}, "Node": admin.Node{}, "LeavingMark": admin.LeavingMark{},
	"Config": admin.Config{}, "Caller": admin.Caller{}, "Rejection": admin.Rejection{}, "Fault": admin.Fault{},
	"Quarantined": admin.Quarantined{}, "QuarantineRecord": admin.QuarantineRecord{}, "Explain": admin.ExplainBody{},
	"Plan": admin.Plan{}, "PlanRelay": admin.PlanRelay{}, "PlanVersion": admin.PlanVersion{}, "PlanVerdict": admin.PlanDecision{},
	"PlanService": admin.PlanService{}, "PlanRun": admin.PlanRun{}, "PlanPart": admin.PlanPart{}, "Checked": admin.Checked{},
	"Problem": admin.Problem{}, "Generated": admin.Generated{},

	"Version": config.Version{}, "FailureDomain": config.FailureDomain{}, "ConfigGroup": config.Group{},
	"ConfigService": config.Service{}, "ConfigTarget": config.Target{}, "Kind": config.Kind{},
	"GroupCatalogue": config.GroupCatalogue{}, "IndexVersion": config.IndexVersion{}, "PartitionMap": config.PartitionMap{},
	"Assignment": config.Assignment{}, "Versions": membership.Versions{},
}

// enums maps the names of the enum schemas to the Go types in package api whose constants they list.
var enums = map[string]string{"ErrorCode": "Code", "Outcome": "Outcome", "MissingReason": "MissingReason"}

// schema is the part of an OpenAPI schema that the description uses.
type schema struct {
	Ref        string            `yaml:"$ref"`
	Type       string            `yaml:"type"`
	Enum       []string          `yaml:"enum"`
	Required   []string          `yaml:"required"`
	Properties map[string]schema `yaml:"properties"`
	Items      *schema           `yaml:"items"`
	Additional *schema           `yaml:"additionalProperties"`
}

type operation struct {
	Tags      []string             `yaml:"tags"`
	Responses map[string]yaml.Node `yaml:"responses"`
	Security  *[]any               `yaml:"security"`
}

type description struct {
	Paths      map[string]map[string]operation `yaml:"paths"`
	Components struct {
		Schemas map[string]schema `yaml:"schemas"`
	} `yaml:"components"`
}

func describe(g *WithT) description {
	var d description
	g.Expect(yaml.Unmarshal(admin.OpenAPI, &d)).To(Succeed())
	return d
}

var parameter = regexp.MustCompile(`:(\w+)`)

// Guards against a route that is served but not described, and one that is described but not served.
func TestOpenAPIRoutes(t *testing.T) {
	g := NewWithT(t)
	d := describe(g)
	for tag, handler := range map[string]any{
		"administration": admin.New(admin.Deps{}).Handler(), "caller": entry.New(entry.Config{}, entry.Deps{}).Handler(),
	} {
		var served, described []string
		for _, r := range handler.(*gin.Engine).Routes() {
			served = append(served, r.Method+" "+parameter.ReplaceAllString(r.Path, "{$1}"))
		}
		for path, operations := range d.Paths {
			for method, o := range operations {
				if slices.Contains(o.Tags, tag) {
					described = append(described, strings.ToUpper(method)+" "+path)
				}
			}
		}
		g.Expect(described).To(ConsistOf(served), tag)
	}
}

// Guards against a code, outcome or reason that callers receive but the description lacks, and against one in the
// description that no longer exists.
func TestOpenAPIEnums(t *testing.T) {
	g := NewWithT(t)
	d := describe(g)
	for name, goType := range enums {
		g.Expect(d.Components.Schemas[name].Enum).To(ConsistOf(constants(g, goType)), name)
	}
}

// constants returns the values of the string constants of a type in package api.
func constants(g *WithT, goType string) []string {
	var values []string
	for _, name := range []string{"../api/errors.go", "../api/api.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.ValueSpec); ok {
				if id, ok := spec.Type.(*ast.Ident); ok && id.Name == goType {
					v, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
					g.Expect(err).NotTo(HaveOccurred())
					values = append(values, v)
				}
			}
			return true
		})
	}
	g.Expect(values).NotTo(BeEmpty(), goType)
	return values
}

// field is one JSON field of a Go struct.
type field struct {
	name     string
	required bool
	typ      reflect.Type
}

// fieldsOf returns the JSON fields of a struct, including those of embedded structs.
func fieldsOf(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("json")
		if f.Anonymous && tag == "" {
			fields = append(fields, fieldsOf(f.Type)...)
			continue
		}
		name, options, _ := strings.Cut(tag, ",")
		fields = append(fields, field{name: name, required: !strings.Contains(options, "omit"), typ: f.Type})
	}
	return fields
}

// Guards against a field that is sent or accepted but not described, one that is described but neither sent nor
// accepted, and a wrong type.
func TestOpenAPIFields(t *testing.T) {
	g := NewWithT(t)
	d := describe(g)
	for name := range d.Components.Schemas {
		if _, isEnum := enums[name]; !isEnum {
			g.Expect(schemas).To(HaveKey(name), "a schema without a Go type")
		}
	}
	for name, value := range schemas {
		s, ok := d.Components.Schemas[name]
		g.Expect(ok).To(BeTrue(), "no schema %s", name)
		var properties, required []string
		for _, f := range fieldsOf(reflect.TypeOf(value)) {
			properties = append(properties, f.name)
			if f.required {
				required = append(required, f.name)
			}
			expectType(g, name+"."+f.name, s.Properties[f.name], f.typ)
		}
		var described []string
		for p := range s.Properties {
			described = append(described, p)
		}
		g.Expect(described).To(ConsistOf(properties), name)
		g.Expect(s.Required).To(ConsistOf(required), name)
	}
}

// expectType checks that a described type matches a Go type.
func expectType(g *WithT, at string, s schema, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	name := strings.TrimPrefix(s.Ref, "#/components/schemas/")
	switch {
	case t == reflect.TypeFor[json.RawMessage]():
		g.Expect(s.Ref+s.Type).To(BeEmpty(), at)
	case t.Kind() == reflect.Struct:
		g.Expect(reflect.TypeOf(schemas[name])).To(Equal(t), at)
	case enums[name] != "":
		g.Expect(t.Name()).To(Equal(enums[name]), at)
	case t.Kind() == reflect.Slice:
		g.Expect(s.Type).To(Equal("array"), at)
		expectType(g, at+"[]", *s.Items, t.Elem())
	case t.Kind() == reflect.Map:
		g.Expect(s.Type).To(Equal("object"), at)
		expectType(g, at+"{}", *s.Additional, t.Elem())
	default:
		want := map[reflect.Kind]string{reflect.String: "string", reflect.Bool: "boolean", reflect.Float64: "number",
			reflect.Int: "integer", reflect.Int64: "integer", reflect.Uint64: "integer"}[t.Kind()]
		g.Expect(s.Type).To(Equal(want), at)
	}
}
