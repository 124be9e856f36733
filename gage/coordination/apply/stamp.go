package apply

import (
	"fmt"
	"strings"
)

// Stamp records one apply in the stored document.
type Stamp struct {
	// ID is unique for each apply and holds no white space.
	ID string
	// Base is the generation that the apply replaced.
	Base int64
}

// The stamps are comment lines ahead of the file, so that a stored document is
// itself a valid configuration file.
const (
	stampFormat = "# Apply %s Base %d\n"
	stampPrefix = "# Apply "
	maxStamps   = 16
	maxIDBytes  = 64
	// maxTotalStampBytes is an upper bound of the total size of all stamps. A Base
	// has at most 20 characters.
	maxTotalStampBytes = maxStamps * (len(stampFormat) + maxIDBytes + 20)
)

// PrependStamps returns the document to store: the stamps, newest first,
// followed by file. Only the newest 16 stamps are kept.
func PrependStamps(stamps []Stamp, file []byte) []byte {
	if len(stamps) > maxStamps {
		stamps = stamps[:maxStamps]
	}
	var header strings.Builder
	for _, s := range stamps {
		fmt.Fprintf(&header, stampFormat, s.ID, s.Base)
	}
	return append([]byte(header.String()), file...)
}

// SplitStamps splits a stored document into its stamps, newest first, and the
// file as the operator wrote it. If the document has no stamps, the file is the
// whole document.
func SplitStamps(document []byte) ([]Stamp, []byte) {
	var stamps []Stamp
	rest := string(document)
	for len(stamps) < maxStamps && strings.HasPrefix(rest, stampPrefix) {
		line, remainder, hasNewline := strings.Cut(rest, "\n")
		var s Stamp
		if _, err := fmt.Sscanf(line+"\n", stampFormat, &s.ID, &s.Base); err != nil || !hasNewline {
			break
		}
		stamps = append(stamps, s)
		rest = remainder
	}
	return stamps, []byte(rest)
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, " \t\r\n")
}
