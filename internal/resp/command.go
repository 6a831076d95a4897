package resp

import "fmt"

// Command parses one command at the start of b. It returns its words, appended to into, and how
// many bytes the command takes; 0 means that more bytes are needed. The error is an *Error.
func Command(b []byte, into [][]byte) (words [][]byte, n int, err error) {
	count, n, err := parseNumber(b, '*', "an array of bulk strings")
	switch {
	case err != nil || n == 0:
		return nil, 0, err
	case count < 1 || count > MaxArguments:
		return nil, 0, newError(fmt.Sprintf("1 to %d words", MaxArguments), "%d", count)
	}
	words = into
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
