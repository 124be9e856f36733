package delta_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/delta"
)

// configFile returns a configuration file of about one megabyte. It consists
// mostly of random key digests, which do not compress.
func configFile(random *rand.Rand) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < 980_000; i++ {
		fmt.Fprintf(&b, "[[Workspace]]\nName = \"workspace-%d\"\nRate = 100.0\nBurst = 50.0\n", i)
		fmt.Fprintf(&b, "KeyDigests = [\"sha256:%016x%016x%016x%016x\"]\n",
			random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
	}
	return b.Bytes()
}

func TestSmallChangeOfLargeFileGivesSmallDelta(t *testing.T) {
	base := configFile(rand.New(rand.NewPCG(1, 1)))
	value := bytes.Replace(base, []byte("Rate = 100.0"), []byte("Rate = 250.0"), 1)
	compressed, err := delta.Encode(base, value)
	assert.NilError(t, err)
	withoutBase, err := delta.Encode(nil, value)
	assert.NilError(t, err)
	t.Logf("file %d bytes, without base %d bytes, delta %d bytes", len(value), len(withoutBase), len(compressed))
	assert.Assert(t, len(compressed) < 20_000, "delta has %d bytes", len(compressed))
	decoded, err := delta.Decode(base, compressed, gage.MaxValueBytes)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(decoded, value))
}

func TestDecodeWithWrongBaseOrTooSmallLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	base := configFile(random)
	compressed, err := delta.Encode(base, append(base[:1000:1000], base...))
	assert.NilError(t, err)
	withWrongBase, err := delta.Decode(configFile(random), compressed, gage.MaxValueBytes)
	assert.Assert(t, err != nil || !bytes.Equal(withWrongBase, append(base[:1000:1000], base...)))
	_, err = delta.Decode(base, compressed, 1000)
	assert.ErrorContains(t, err, "")
}

func TestEmptyAndTinyValues(t *testing.T) {
	for _, value := range []string{"", "a", "Rate = 1"} {
		compressed, err := delta.Encode([]byte("Rate = 2"), []byte(value))
		assert.NilError(t, err)
		decoded, err := delta.Decode([]byte("Rate = 2"), compressed, 100)
		assert.NilError(t, err)
		assert.Equal(t, string(decoded), value)
	}
}

func BenchmarkEncode(b *testing.B) {
	base := configFile(rand.New(rand.NewPCG(1, 1)))
	value := bytes.Replace(base, []byte("Rate = 100.0"), []byte("Rate = 250.0"), 1)
	for b.Loop() {
		_, _ = delta.Encode(base, value)
	}
}
