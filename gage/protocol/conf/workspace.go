package conf

import (
	"fmt"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

const digestRule = `must be "sha256:" and 64 lower-case hexadecimal digits, as ggw key new prints it; a key in clear is not allowed`

func (p *parser) workspaces(tables []workspace) []gage.Workspace {
	var workspaces []gage.Workspace
	names := make(map[string]string)
	digests := make(map[string]string)
	for i, w := range tables {
		key := fmt.Sprintf("Workspace[%d]", i)
		workspaces = append(workspaces, gage.Workspace{
			Name:       p.uniqueName(names, key, w.Name),
			KeyDigests: p.digests(digests, key+".KeyDigests", w.KeyDigests),
			Rate:       p.Number(key+".Rate", w.Rate, isValidRate, "must be a number above 0, at most 1e9"),
			Burst:      p.Number(key+".Burst", w.Burst, isValidBurst, "must be a number from 2 to 1e9"),
		})
	}
	return workspaces
}

// digests returns the key digests of one workspace. seen maps each earlier digest to
// its path in the file, such as Workspace[0].KeyDigests[1]; digests adds the new ones.
func (p *parser) digests(seen map[string]string, key string, value any) []string {
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		p.RefuseSecret(key, "must be a list of digests in strings")
		return nil
	}
	var digests []string
	for i, element := range list {
		elementKey := fmt.Sprintf("%s[%d]", key, i)
		digest, isString := element.(string)
		if !isString || !keys.IsDigest(digest) {
			p.RefuseSecret(elementKey, digestRule)
			continue
		}
		p.Unique(seen, elementKey, digest)
		digests = append(digests, digest)
	}
	return digests
}

func isValidRate(rate float64) bool {
	return rate > 0 && rate <= maxRate
}

func isValidBurst(burst float64) bool {
	return burst >= minBurst && burst <= maxRate
}
