package conf_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/check"
	"github.com/greengagewind/greengagewind/gage/protocol/conf"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

// validFile contains DIGEST-A to DIGEST-C in place of key digests; withDigests
// replaces them.
const validFile = `Deployment = "test"

[[Workspace]]
Name = "aurora"
KeyDigests = ["DIGEST-A"]
Rate = 10
Burst = 5

[[Workspace]]
Name = "boreal"
KeyDigests = [
  "DIGEST-B",
  "DIGEST-C",
]
Rate = 2.5
Burst = 3

[[Service]]
Name = "search"

[[Route]]
Name = "search"
Method = "GET"
PathPrefix = "/search"
Service = "search"
Importance = "Normal"
Idempotent = true
Deadline = "2s"

[[Zone]]
Name = "zone-a"
InService = true
`

func withDigests(text string) string {
	for _, letter := range []string{"A", "B", "C"} {
		text = strings.ReplaceAll(text, "DIGEST-"+letter, keys.Digest(letter))
	}
	return text
}

func TestParseAccepts(t *testing.T) {
	config, problems := conf.Parse("good.toml", []byte(withDigests(validFile)))
	assert.Equal(t, problems.String(), "")
	assert.Equal(t, config.Deployment, "test")
	assert.Equal(t, config.Workspaces[1].Rate, 2.5)
	assert.DeepEqual(t, config.Workspaces[1].KeyDigests, []string{keys.Digest("B"), keys.Digest("C")})
	assert.Equal(t, config.Services[0].ColdConcurrency, 1)
	assert.Equal(t, config.Routes[0].Importance, gage.ImportanceNormal)
}

func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		// want are the prefixes of the problem lines.
		want []string
	}{
		{"unknown field", "Rate = 10", "Rate = 10\nRatio = 3", []string{"f:7: Workspace[0].Ratio = 3: unknown field; allowed here: Burst, KeyDigests, Name, Rate"}},
		{"field in another case", "Rate = 2.5", "rate = 2.5", []string{"f:15: Workspace[1].rate = 2.5: unknown field"}},
		{"unknown table", "[[Zone]]", "[[Region]]", []string{"f:30: Region[0]: unknown field"}},
		{"duplicate workspace", `"boreal"`, `"aurora"`, []string{`f:10: Workspace[1].Name = "aurora": must be unique; Workspace[0].Name in line 4 is the same`}},
		{"digest in two workspaces", "DIGEST-C", "DIGEST-A", []string{`f:13: Workspace[1].KeyDigests[1] = "sha256:559aead08264d5795d3909718cdd05abd49572e84fe55590eef31a88a08fdffd": must be unique; Workspace[0].KeyDigests[0] in line 5`}},
		{"key in plain text", "DIGEST-C", "my-secret-key", []string{"f:13: Workspace[1].KeyDigests[1] = (not shown): must be \"sha256:\""}},
		{"rate of 0", "Rate = 2.5", "Rate = 0", []string{"f:15: Workspace[1].Rate = 0: must be a number above 0, at most 1e9"}},
		{"negative rate", "Rate = 10", "Rate = -1", []string{"f:6: Workspace[0].Rate = -1: must be a number above 0"}},
		{"infinite rate", "Rate = 10", "Rate = inf", []string{"f:6: Workspace[0].Rate = inf: must be a number above 0"}},
		{"rate of the wrong type", "Rate = 10", `Rate = "10"`, []string{`f:6: Workspace[0].Rate = "10": must be a number above 0`}},
		{"burst below 2", "Burst = 3", "Burst = 1", []string{"f:16: Workspace[1].Burst = 1: must be a number from 2 to 1e9"}},
		{"missing burst", "Burst = 3", "", []string{"f:9: Workspace[1].Burst = (missing): must be a number from 2"}},
		{"digests of the wrong type", `["DIGEST-A"]`, `"DIGEST-A"`, []string{"f:5: Workspace[0].KeyDigests = (not shown): must be a list"}},
		{"unknown service", `Service = "search"`, `Service = "custody"`, []string{`f:25: Route[0].Service = "custody": must be the Name of a [[Service]]`}},
		{"bad importance", `"Normal"`, `"Urgent"`, []string{`f:26: Route[0].Importance = "Urgent": must be one of Critical, High, Normal, Low`}},
		{"bad method", `"GET"`, `"get"`, []string{`f:23: Route[0].Method = "get": must be one of GET, HEAD`}},
		{"relative prefix", `"/search"`, `"search"`, []string{`f:24: Route[0].PathPrefix = "search": must be / or begin with /`}},
		{"prefix with a slash at its end", `"/search"`, `"/search/"`, []string{`f:24: Route[0].PathPrefix`}},
		{"prefix with dots", `"/search"`, `"/a/../b"`, []string{`f:24: Route[0].PathPrefix`}},
		{"encoded prefix", `"/search"`, `"/se%61rch"`, []string{`f:24: Route[0].PathPrefix`}},
		{"prefix of the targets", `"/search"`, `"/v1/targets/x"`, []string{`f:24: Route[0].PathPrefix`}},
		{"deadline of 0", `"2s"`, `"0s"`, []string{`f:28: Route[0].Deadline = "0s": must be a duration in a string, such as "2s", from 1ms to 10m0s`}},
		{"negative deadline", `"2s"`, `"-2s"`, []string{`f:28: Route[0].Deadline = "-2s": must be a duration`}},
		{"missing deadline", `Deadline = "2s"`, "", []string{`f:21: Route[0].Deadline = (missing): must be a duration`}},
		{"zone without InService", "InService = true", "", []string{"f:30: Zone[0].InService = (missing): must be true or false"}},
		{"zone of the wrong type", "InService = true", `InService = "yes"`, []string{`f:32: Zone[0].InService = "yes": must be true or false`}},
		{"open and internal", "Idempotent = true", "Open = true\nInternal = true", []string{"f:27: Route[0].Open = true: must be false on a route that is Internal"}},
		{"bad name", `"zone-a"`, `"zone a"`, []string{`f:31: Zone[0].Name = "zone a": must be 1 to 64 letters`}},
		{"no route", validFile[strings.Index(validFile, "[[Route]]"):], "", []string{"f:1: Route = (missing): must have at least one [[Route]]"}},
		{"table in place of an array", "[[Zone]]", "[Zone]", []string{"f:30: Zone: must be written as [[Zone]], once for each"}},
		{"value in place of an array", "Deployment = \"test\"", "Deployment = \"test\"\nTarget = 3", []string{"f:2: Target = 3: must be written as [[Target]], once for each"}},
		{"syntax", "Rate = 2.5", "Rate = = 2", []string{"f:15: toml: "}},
		{"duplicate key", "Rate = 2.5", "Rate = 2.5\nRate = 3", []string{"f:16: toml: "}},
		{"quoted key like a path", "Deployment = \"test\"", "Deployment = \"test\"\n\"Zone[0].Name\" = 3", []string{"f:2: Zone?0??Name = 3: unknown field"}},
		{"two problems", "Rate = 10\nBurst = 5", "Rate = 0\nBurst = 0", []string{"f:6: Workspace[0].Rate = 0", "f:7: Workspace[0].Burst = 0"}},
		{"same method and prefix", "[[Zone]]", "[[Route]]\nName = \"again\"\nMethod = \"GET\"\nPathPrefix = \"/search\"\nService = \"search\"\nImportance = \"Low\"\nDeadline = \"1s\"\n[[Zone]]", []string{`f:33: Route[1].PathPrefix = "/search": must be unique for each Method; Route[0] in line 21 has the same`}},
		{"inline tables", "[[Zone]]\nName = \"zone-a\"\nInService = true", "[[Zone]]\nName = \"zone-a\"\nInService = {\n  A = 1 }", []string{"f:32: Zone[0].InService = {   A = 1 }: must be true or false"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validFile, tt.old))
			_, problems := conf.Parse("f", []byte(withDigests(strings.Replace(validFile, tt.old, tt.new, 1))))
			var got []string
			for i, p := range problems {
				line := p.String()
				if i < len(tt.want) && strings.HasPrefix(line, tt.want[i]) {
					line = tt.want[i]
				}
				got = append(got, line)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestParseRefusesWrongTypes takes a file that contains every field, replaces each
// single-line value in turn by values of wrong types, and checks that Parse reports
// the key.
func TestParseRefusesWrongTypes(t *testing.T) {
	text, err := os.ReadFile("testdata/every-field.toml")
	assert.NilError(t, err)
	_, problems := conf.Parse("f", text)
	assert.Equal(t, problems.String(), "")
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		key, _, found := strings.Cut(line, " = ")
		if !found {
			continue
		}
		for _, wrong := range []string{"1979-05-27", "{ A = 1 }", "[[1]]", "''", "-1e300"} {
			changed := slices.Clone(lines)
			changed[i] = key + " = " + wrong
			_, problems := conf.Parse("f", []byte(strings.Join(changed, "\n")))
			problemIndex := slices.IndexFunc(problems, func(p check.Problem) bool {
				return p.Line == i+1 && strings.Contains(p.Key, key)
			})
			assert.Assert(t, problemIndex >= 0, "line %d: %s is accepted", i+1, changed[i])
		}
	}
}

func TestParseRefusesFileLargerThanStoreValue(t *testing.T) {
	text := withDigests(validFile) + strings.Repeat("#", gage.MaxValueBytes)
	_, problems := conf.Parse("f", []byte(text))
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, strings.Contains(problems[0].Allowed, "at most 1000000 are allowed"))
}

func TestParseBoundsNumberOfProblems(t *testing.T) {
	tests := []struct {
		name, text string
		want       int
	}{
		{"many bad values", strings.Repeat("[[Zone]]\n", 1000), 201},
		// The unknown field A and the missing Deployment and Route.
		{"deep arrays", "A = " + strings.Repeat("[", 5000) + strings.Repeat("]", 5000), 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := conf.Parse("f", []byte(tt.text))
			assert.Equal(t, len(problems), tt.want)
		})
	}
}

func TestExamplesRoundTrip(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		config, problems := conf.Parse(file, text)
		assert.Equal(t, problems.String(), "")
		reparsed, problems := conf.Parse(file, conf.Render(config))
		assert.Equal(t, problems.String(), "")
		assert.Equal(t, string(conf.Render(reparsed)), string(conf.Render(config)))
		assert.Equal(t, len(conf.Diff(config, reparsed)), 0)
	}
}
