package respnode

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds of a command that a node reads.
const (
	maxArguments     = 64
	maxArgumentBytes = 1 << 20
)

// Errors of what is no command.
var (
	errNoCommand    = errors.New("no command")
	errNoBulkString = errors.New("no bulk string")
)

// Bulk returns a bulk string.
func Bulk(s string) string { return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n" }

// Command returns a command: an array of bulk strings.
func Command(args ...string) string {
	var b strings.Builder
	b.WriteString("*" + strconv.Itoa(len(args)) + "\r\n")
	for _, arg := range args {
		b.WriteString(Bulk(arg))
	}
	return b.String()
}

// ReadReply reads a reply. It returns a line whole, and a bulk string as "$" and its bytes.
func ReadReply(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil || line[0] != '$' {
		return line, err
	}
	size, err := strconv.Atoi(line[1 : len(line)-2])
	if err != nil || size < 0 {
		return line, err
	}
	b := make([]byte, size+2)
	_, err = io.ReadFull(in, b)
	return "$" + string(b[:size]), err
}

// readCommand reads a command and returns its arguments.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readCount(in, '*')
	if err != nil || count < 1 || count > maxArguments {
		return nil, errors.Join(err, errNoCommand)
	}
	args := make([]string, count)
	for i := range args {
		if args[i], err = readBulk(in); err != nil {
			return nil, err
		}
	}
	return args, nil
}

func readBulk(in *bufio.Reader) (string, error) {
	size, err := readCount(in, '$')
	if err != nil || size < 0 || size > maxArgumentBytes {
		return "", errors.Join(err, errNoBulkString)
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b[:size]), nil
}

// readCount reads the line that begins an array or a bulk string.
func readCount(in *bufio.Reader, mark byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != mark {
		return 0, fmt.Errorf("expected %c, got %q", mark, line)
	}
	return strconv.Atoi(line[1 : len(line)-2])
}
