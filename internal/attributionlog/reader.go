package attributionlog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// Read returns the records of all files of a log, the oldest first. For each corrupt file, it
// returns the records before the corruption and a *CorruptionError. It returns an error if the log
// cannot be read at all: a file cannot be opened, is not an attribution log (ErrFormat), or has
// another version (*VersionError).
func Read(path string) (recs []Record, corruption []*CorruptionError, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, nil, fmt.Errorf("attribution log: %w", err)
	}
	for i := oldestFile(path); i >= 0; i-- {
		name := fileName(path, i)
		err := readFile(name, func(r Record) { recs = append(recs, r) })
		var c *CorruptionError
		switch {
		case errors.As(err, &c):
			c.File = name
			corruption = append(corruption, c)
		case err != nil:
			return nil, nil, err
		}
	}
	return recs, corruption, nil
}

// oldestFile returns the number of the oldest file of a log. The newest file has the number 0.
func oldestFile(path string) int {
	oldest := 0
	for {
		if _, err := os.Stat(fileName(path, oldest+1)); err != nil {
			return oldest
		}
		oldest++
	}
}

// readFile calls yield for each intact record of a file.
func readFile(name string, yield func(Record)) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	defer func() { _ = f.Close() }() // Close cannot lose data, as the file is only read
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("attribution log %s: %w", name, err)
	}
	if _, err := scan(f, info.Size(), yield); err != nil {
		return fmt.Errorf("attribution log %s: %w", name, err)
	}
	return nil
}

// scan reads a file of the given size in bytes and calls yield for each intact record. It returns the
// offset at which the last intact record ends.
func scan(r io.Reader, size int64, yield func(Record)) (int64, error) {
	head := make([]byte, min(int64(len(header())), size))
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, err
	}
	if !bytes.Equal(head, header()) {
		return 0, headerError(head)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRecord))
	if err != nil {
		return 0, err
	}
	defer decoder.Close()
	offset := int64(len(head))
	for offset < size {
		rec, n, err := readRecord(r, size-offset, decoder)
		if err != nil {
			return offset, &CorruptionError{Offset: offset, Reason: err.Error()}
		}
		yield(rec)
		offset += n
	}
	return offset, nil
}

// headerError returns the error for a header that differs from the header of this version.
func headerError(head []byte) error {
	if len(head) == 0 || bytes.HasPrefix(header(), head) {
		return &CorruptionError{Offset: 0, Reason: "the header is truncated"}
	}
	version, ok := bytes.CutPrefix(head, []byte(magic))
	if !ok {
		return ErrFormat
	}
	return &VersionError{Version: string(bytes.TrimRight(version, "\n"))}
}

// readRecord reads the next record of a file in which the given number of bytes is left. It returns
// the record and the number of bytes that the record and its frame take.
func readRecord(r io.Reader, left int64, decoder *zstd.Decoder) (rec Record, n int64, err error) {
	var frame [frameSize]byte
	if left < frameSize {
		return rec, 0, fmt.Errorf("the frame of a record is truncated to %d of %d bytes", left, frameSize)
	}
	if _, err := io.ReadFull(r, frame[:]); err != nil {
		return rec, 0, err
	}
	size := int64(binary.LittleEndian.Uint32(frame[:]))
	if size > maxRecord {
		return rec, 0, fmt.Errorf("the length of a record is %d bytes, must be at most %d", size, maxRecord)
	}
	if size > left-frameSize {
		return rec, 0, fmt.Errorf("a record is truncated to %d of %d bytes", left-frameSize, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return rec, 0, err
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(frame[lengthSize:]) {
		return rec, 0, errors.New("the checksum of a record does not match its content")
	}
	uncompressed, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return rec, 0, fmt.Errorf("a record cannot be decompressed: %w", err)
	}
	if err := json.Unmarshal(uncompressed, &rec); err != nil {
		return rec, 0, fmt.Errorf("a record cannot be decoded: %w", err)
	}
	return rec, frameSize + size, nil
}
