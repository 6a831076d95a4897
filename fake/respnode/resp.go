package respnode

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of a command. A node closes the connection when it receives a larger command.
const (
	maxArguments     = 64
	maxArgumentBytes = 1 << 20
)

// Errors of readCommand for invalid input.
var (
	errInvalidCommand    = errors.New("invalid command: it must be an array of bulk strings")
	errInvalidBulkString = errors.New("invalid length of a bulk string in a command")
)

// Bulk returns a string in the RESP encoding of a bulk string.
func Bulk(s string) string { return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n" }

// Command returns a command in its RESP encoding, which is an array of bulk strings.
func Command(args ...string) string {
	var b strings.Builder
	b.WriteString("*" + strconv.Itoa(len(args)) + "\r\n")
	for _, arg := range args {
		b.WriteString(Bulk(arg))
	}
	return b.String()
}

// ReadReply reads one RESP element. It returns a bulk string as "$" followed by its bytes, and any other
// element as its line, with the line end.
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

// readCommand reads one command and returns its arguments, which include the command's name.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readCount(in, '*')
	if err != nil || count < 1 || count > maxArguments {
		return nil, errors.Join(err, errInvalidCommand)
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
		return "", errors.Join(err, errInvalidBulkString)
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b[:size]), nil
}

// readCount reads the first line of an array or a bulk string, which has the given type byte and a count.
func readCount(in *bufio.Reader, typeByte byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != typeByte {
		return 0, fmt.Errorf("expected a line that starts with %c, got %q", typeByte, line)
	}
	return strconv.Atoi(line[1 : len(line)-2])
}
