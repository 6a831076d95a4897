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
