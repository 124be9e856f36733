package hop

import "bytes"

// foldFinder looks at the bytes of a header for lines that begin with a blank. net/http adds
// such a line to the value of the one before (RFC 9112, 5.2), so that a name after a blank
// would be passed on as a part of a value. It goes through interim responses and stops after
// the header of a final one.
type foldFinder struct {
	// found is true if a line of a header began with a blank.
	found bool
	// inHead is false after the header of a final response.
	inHead bool
	// isStatusLine is true in the first line of a header, and isInterim once it has shown a
	// status of 1xx.
	isStatusLine, isInterim bool
	// length is the number of bytes of the present line without carriage returns, and last
	// the byte before the present one.
	length int
	last   byte
}

func (f *foldFinder) start() { *f = foldFinder{inHead: true, isStatusLine: true} }

func (f *foldFinder) look(text []byte) {
	for len(text) > 0 && f.inHead {
		size := bytes.IndexByte(text, '\n') + 1
		if size == 0 {
			size = len(text)
		}
		f.lookAtLine(text[:size])
		text = text[size:]
	}
}

// lookAtLine looks at a line, or at a part of one without its end. Only the beginning and the
// end of a line matter.
func (f *foldFinder) lookAtLine(part []byte) {
	i := 0
	for ; i < len(part) && (f.length == 0 || f.isStatusLine && f.length <= len("HTTP/1.1 ")); i++ {
		f.next(part[i])
	}
	if last := len(part) - 1; i <= last && part[last] == '\n' {
		f.next('\n')
	}
}

func (f *foldFinder) next(b byte) {
	switch {
	case b == '\n' && f.length == 0 && f.isInterim:
		found := f.found
		f.start()
		f.found = found
	case b == '\n' && f.length == 0:
		f.inHead = false
	case b == '\n':
		f.length, f.isStatusLine = 0, false
	case b == '\r':
	default:
		isBlank := b == ' ' || b == '\t'
		f.found = f.found || isBlank && f.length == 0 && !f.isStatusLine
		if f.isStatusLine && f.last == ' ' && f.length == len("HTTP/1.1 ") {
			f.isInterim = b == '1'
		}
		f.length++
	}
	f.last = b
}
