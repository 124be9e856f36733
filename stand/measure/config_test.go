package measure_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/measure"
)

const examples = "../../examples"

// configFile has the fields of a configuration file that the tests check.
type configFile struct {
	Deployment string
	Workspace  []struct{ Name string }
	Service    []struct {
		Name           string
		MaxConcurrency int
	}
	Zone []struct {
		Name      string
		InService bool
	}
}

func TestConfigWriterChangesSlotsAndZones(t *testing.T) {
	configs, err := measure.NewConfigWriter(filepath.Join(examples, "consorcio.toml"), t.TempDir(), 5)
	assert.NilError(t, err)
	file, err := configs.Write("zone-b")
	assert.NilError(t, err)
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	var got configFile
	assert.NilError(t, toml.Unmarshal(text, &got))
	assert.Equal(t, got.Deployment, "consorcio")
	assert.Equal(t, len(got.Workspace), 8)
	assert.Equal(t, got.Service[0].MaxConcurrency, 30)
	for _, zone := range got.Zone {
		assert.Equal(t, zone.InService, zone.Name != "zone-b")
	}
	second, err := configs.Write("")
	assert.NilError(t, err)
	assert.Assert(t, second != file)
}

// TestExampleFilesAreConsistent checks that the plans, fleets, keys and
// configuration files of both deployments name the same workspaces, services and
// zones, and that each service has the slots listed in the test.
func TestExampleFilesAreConsistent(t *testing.T) {
	wantSlotsByDeployment := map[string]map[string]int{
		"consorcio": {"search": 6 * 150, "custody": 3 * 300, "calendar": 3 * 300, "ceremonies": 3 * 40},
		"sahil":     {"history": 5 * 120, "bookings": 4 * 150, "scheduling": 3 * 200, "crew": 3 * 30},
	}
	for deployment, wantSlots := range wantSlotsByDeployment {
		text, err := os.ReadFile(filepath.Join(examples, deployment+".toml"))
		assert.NilError(t, err)
		var config configFile
		assert.NilError(t, toml.Unmarshal(text, &config))
		zones, workspaces := make(map[string]bool), make(map[string]bool)
		for _, zone := range config.Zone {
			zones[zone.Name] = true
		}
		for _, workspace := range config.Workspace {
			workspaces[workspace.Name] = true
		}
		keys, err := load.ReadKeys(filepath.Join(examples, deployment+".keys"))
		assert.NilError(t, err)
		for _, suffix := range []string{"", "-full"} {
			layout, err := fleet.ReadLayout(filepath.Join(examples, "fleets", deployment+suffix+".toml"))
			assert.NilError(t, err)
			assert.DeepEqual(t, slotsByService(t, layout, zones), wantSlots)
		}
		for _, suffix := range []string{"", "-surge"} {
			plan, err := load.ReadPlan(filepath.Join(examples, "plans", deployment+suffix+".toml"))
			assert.NilError(t, err)
			assert.Equal(t, len(plan.Workspace), len(workspaces))
			for _, workspace := range plan.Workspace {
				assert.Assert(t, workspaces[workspace.Name] && keys[workspace.Name] != "", workspace.Name)
			}
		}
	}
}

// slotsByService returns the total slots of each service, and fails the test if a
// VM is in none of zones.
func slotsByService(t *testing.T, layout *fleet.Layout, zones map[string]bool) map[string]int {
	t.Helper()
	total := make(map[string]int)
	for _, vm := range layout.VM {
		assert.Assert(t, zones[vm.Zone], vm.Zone)
		for _, target := range vm.Target {
			total[target.Service] += target.Slots
		}
	}
	return total
}
