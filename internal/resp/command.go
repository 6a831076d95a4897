package resp

import "fmt"

// Command parses the command at the start of b. It appends the command's words to dst and returns
// them together with the command's length n in bytes. n is 0 if b does not hold a complete command
// yet. Every error that Command returns is an *Error.
func Command(b []byte, dst [][]byte) (words [][]byte, n int, err error) {
	count, n, err := parseNumber(b, '*', "an array of bulk strings")
	switch {
	case err != nil || n == 0:
		return nil, 0, err
	case count < 1 || count > MaxArguments:
		return nil, 0, newError(fmt.Sprintf("1 to %d words", MaxArguments), "%d", count)
	}
	words = dst
	for range count {
		item, end, err := parseItem(b, n, 0)
		if err != nil || end == 0 {
			return nil, 0, err
		}
		words = append(words, item.Text)
		n = end
	}
	return words, n, nil
}

// Missing returns how many bytes the incomplete command in b lacks at least. A read of so many bytes does not
// go beyond the end of the command. Missing must not be called for input that Command does not accept as the
// beginning of a command.
func Missing(b []byte) int {
	count, at, err := parseNumber(b, '*', "")
	if err != nil || at == 0 {
		return 1
	}
	for range count {
		length, n, err := parseNumber(b[at:], '$', "")
		if err != nil || n == 0 {
			return 1
		}
		end := at + n + length + len(crlf)
		if end > len(b) {
			return end - len(b)
		}
		at = end
	}
	return 1
}

// crlf ends each line and each bulk string.
const crlf = "\r\n"
