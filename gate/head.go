package gate

import "bytes"

// headScanner finds the end of the head of a request in the bytes that arrive, and counts its lines and bytes.
type headScanner struct {
	// lines is the number of lines that have ended. lineBytes is the size of the first line, and fieldBytes that of all others.
	lines, lineBytes, fieldBytes int
	// empty is set while the present line has no bytes but a carriage return, and returned if it has that one.
	empty, returned bool
	// begun is set when a line that is not empty has begun; empty lines before the head do not end it.
	begun bool
}

// scan reads further bytes. It returns the number of bytes that belong to the head, and whether they end it.
func (s *headScanner) scan(b []byte) (int, bool) {
	read := 0
	for read < len(b) {
		line, _, ended := bytes.Cut(b[read:], []byte{'\n'})
		n := len(line)
		if ended {
			n++
		}
		switch {
		case len(line) == 0:
		case len(line) == 1 && line[0] == '\r' && s.empty && !s.returned:
			s.returned = true
		default:
			s.empty, s.returned, s.begun = false, false, true
		}
		if s.lines == 0 {
			s.lineBytes += n
		} else {
			s.fieldBytes += n
		}
		read += n
		if !ended {
			return read, false
		}
		if s.empty && s.begun {
			return read, true
		}
		s.empty, s.returned = true, false
		s.lines++
	}
	return read, false
}

// newHeadScanner returns a scanner at the beginning of a head.
func newHeadScanner() headScanner { return headScanner{empty: true} }
