package strictjson

import "bytes"

// findTooDeep returns the offset at which nesting exceeds MaxDepth, or -1. It ignores strings
// and comments, and does not report syntax errors, which the parser finds later.
func findTooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); {
		switch data[i] {
		case '"':
			i = skipString(data, i)
			continue
		case '/':
			i = skipComment(data, i)
			continue
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
		i++
	}
	return -1
}

func skipString(data []byte, i int) int {
	for i++; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"', '\n':
			return i + 1
		}
	}
	return len(data)
}

func skipComment(data []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end = "*/"
	default:
		return i + 1
	}
	length := bytes.Index(data[i+2:], []byte(end))
	if length < 0 {
		return len(data)
	}
	return i + 2 + length + len(end)
}
