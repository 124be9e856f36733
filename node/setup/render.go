package setup

import (
	"fmt"
	"strconv"
	"strings"
)

// Render returns settings as the text of a settings file, including those that
// have default values. Parsing the text yields the same settings.
func Render(s Settings) []byte {
	var b strings.Builder
	writeString := func(key, value string) {
		fmt.Fprintf(&b, "%s = %s\n", key, quote(value))
	}
	writeString("VM", s.VM)
	writeString("Zone", s.Zone)
	writeString("Region", s.Region)
	writeString("CallerAddress", s.CallerAddress)
	writeString("TargetAddress", s.TargetAddress)
	writeString("PeerAddress", s.PeerAddress)
	writeString("OperatorAddress", s.OperatorAddress)
	fmt.Fprintf(&b, "StoreEndpoints = %s\n", quoteList(s.StoreEndpoints))
	fmt.Fprintf(&b, "Seeds = %s\n", quoteList(s.Seeds))
	writeString("Policy", string(s.Policy))
	writeString("LogLevel", s.LogLevel)
	fmt.Fprintf(&b, "MemoryMB = %d\n", s.MemoryMB)
	if s.FileDescriptors > 0 {
		fmt.Fprintf(&b, "FileDescriptors = %d\n", s.FileDescriptors)
	}
	writeString("StopTimeout", s.StopTimeout.String())
	b.WriteString("\n[Trace]\n")
	writeString("Exporter", string(s.Trace.Exporter))
	if s.Trace.Endpoint != "" {
		writeString("Endpoint", s.Trace.Endpoint)
	}
	if s.Trace.File != "" {
		writeString("File", s.Trace.File)
	}
	fmt.Fprintf(&b, "Sample = %s\n", strconv.FormatFloat(s.Trace.Sample, 'f', -1, 64))
	return []byte(b.String())
}

func quoteList(values []string) string {
	quoted := make([]string, len(values))
	for i, value := range values {
		quoted[i] = quote(value)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// quote returns value as a TOML string. strconv.Quote is unsuitable, since TOML
// supports only some of Go's escape sequences.
func quote(value string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range value {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
