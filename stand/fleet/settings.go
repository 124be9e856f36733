package fleet

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// nodeSettings is the content of a node's settings file. Addresses are host:port.
type nodeSettings struct {
	VM              string
	Zone            string
	Region          string
	CallerAddress   string
	TargetAddress   string
	PeerAddress     string
	OperatorAddress string
	StoreEndpoints  []string
	Policy          string `toml:",omitempty"`
}

func writeSettingsFile(path string, s nodeSettings) error {
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("write settings of %s: %w", s.VM, err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("write settings of %s: %w", s.VM, err)
	}
	return nil
}
