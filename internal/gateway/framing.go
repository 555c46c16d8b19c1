package gateway

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
)

// maxFramingLine bounds the part of a line that is kept. Longer lines have no meaning for the framing.
const maxFramingLine = 128

// The parts of a request.
const (
	betweenRequests = iota
	requestLine
	headerLine
	fixedBody
	chunkSize
	chunkData
	trailerLine
	unframed // the framing is not understood, and net/http refuses the request
)

// requestFraming follows requests over the bytes of a connection. net/http reads ahead and does not tell whether
// it has a part of a next request.
type requestFraming struct {
	begun atomic.Int64 // requests of which a byte has been read

	part    int
	line    []byte // the first bytes of the current line
	length  int64  // of the body, by the header
	chunked bool
	left    int64 // bytes left of fixedBody or chunkData
}

// read processes bytes that were read from the connection.
func (f *requestFraming) read(p []byte) {
	for len(p) > 0 && f.part != unframed {
		switch f.part {
		case betweenRequests:
			if p[0] == '\r' || p[0] == '\n' {
				p = p[1:] // some clients end bodies with a line break
				continue
			}
			f.begun.Add(1)
			f.part, f.length, f.chunked = requestLine, 0, false
		case fixedBody, chunkData:
			n := min(f.left, int64(len(p)))
			f.left, p = f.left-n, p[n:]
			switch {
			case f.left > 0:
			case f.part == chunkData:
				f.part = chunkSize
			default:
				f.part = betweenRequests
			}
		default:
			p = f.readLine(p)
		}
	}
}

// readLine processes bytes up to the end of a line, and returns the rest.
func (f *requestFraming) readLine(p []byte) []byte {
	piece, rest, ended := bytes.Cut(p, []byte{'\n'})
	f.line = append(f.line, piece[:min(len(piece), maxFramingLine-len(f.line))]...)
	if !ended {
		return nil
	}
	f.endLine(strings.TrimSuffix(string(f.line), "\r"))
	f.line = f.line[:0]
	return rest
}

func (f *requestFraming) endLine(line string) {
	switch {
	case f.part == requestLine:
		f.part = headerLine
	case f.part == chunkSize:
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 62)
		switch {
		case err != nil:
			f.part = unframed
		case n == 0:
			f.part = trailerLine
		default:
			f.part, f.left = chunkData, int64(n)+int64(len("\r\n"))
		}
	case f.part == trailerLine:
		if line == "" {
			f.part = betweenRequests
		}
	case line != "":
		f.readField(line)
	case f.chunked:
		f.part = chunkSize
	case f.length > 0:
		f.part, f.left = fixedBody, f.length
	default:
		f.part = betweenRequests
	}
}

// readField processes a field of the header.
func (f *requestFraming) readField(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = true
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62)
		if err != nil {
			f.part = unframed
		}
		f.length = int64(n)
	}
}
