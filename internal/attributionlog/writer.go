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

// Writer appends records to an attribution log. It is not safe for concurrent use.
type Writer struct {
	path        string
	maxFileSize int64 // maximum size of a file in bytes
	maxFiles    int
	file        *os.File
	size        int64 // size of file in bytes
	encoder     *zstd.Encoder
	buf         []byte
}

// Open opens a log for appending. If a crash left an incomplete record at the end of the file, Open
// truncates the file before that record. A file has at most maxFileSize bytes. There are at most
// maxFiles files: path is the newest one, path.1 the next older one, and so on. If the file is not an
// attribution log or has another version, Open returns ErrFormat or a *VersionError and leaves the
// file unchanged.
func Open(path string, maxFileSize int64, maxFiles int) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("attribution log: %w", err)
	}
	w := &Writer{path: path, maxFileSize: maxFileSize, maxFiles: max(maxFiles, 1), encoder: encoder}
	if err := w.open(); err != nil {
		return nil, errors.Join(err, encoder.Close())
	}
	return w, nil
}

func (w *Writer) open() error {
	f, err := os.OpenFile(w.path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	size, err := w.truncateToIntact(f)
	if err != nil {
		_ = f.Close() // a second error from Close would add nothing to the error of truncateToIntact
		return err
	}
	w.file = f
	w.size = size
	return nil
}

// truncateToIntact truncates the file after its last intact record and returns the resulting size.
// If the file ends within its header, truncateToIntact replaces its contents with a new header.
func (w *Writer) truncateToIntact(f *os.File) (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, fmt.Errorf("attribution log: %w", err)
	}
	head := header()
	start := make([]byte, min(info.Size(), int64(len(head))))
	if _, err := io.ReadFull(f, start); err != nil {
		return 0, fmt.Errorf("attribution log: %w", err)
	}
	if len(start) < len(head) && bytes.HasPrefix(head, start) {
		if err := errors.Join(f.Truncate(0), writeAt(f, head, 0)); err != nil {
			return 0, fmt.Errorf("attribution log: %w", err)
		}
		return int64(len(head)), nil
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return 0, fmt.Errorf("attribution log: %w", err)
	}
	end, err := scan(f, info.Size(), func(Record) {})
	var corruption *CorruptionError
	if err != nil && !errors.As(err, &corruption) {
		return 0, fmt.Errorf("attribution log %s: %w", w.path, err)
	}
	if err := f.Truncate(end); err != nil {
		return 0, fmt.Errorf("attribution log: %w", err)
	}
	return end, nil
}

func writeAt(f *os.File, b []byte, at int64) error {
	_, err := f.WriteAt(b, at)
	return err
}

// Append writes a record with a single write call. If the record does not fit into the current file,
// Append starts a new file first.
func (w *Writer) Append(r Record) error {
	uncompressed, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	w.buf = append(w.buf[:0], make([]byte, frameSize)...)
	w.buf = w.encoder.EncodeAll(uncompressed, w.buf)
	body := w.buf[frameSize:]
	binary.LittleEndian.PutUint32(w.buf, uint32(len(body)))
	binary.LittleEndian.PutUint64(w.buf[lengthSize:], xxhash.Sum64(body))
	if w.size > int64(len(header())) && w.size+int64(len(w.buf)) > w.maxFileSize {
		if err := w.rotate(); err != nil {
			return err
		}
	}
	if err := writeAt(w.file, w.buf, w.size); err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	w.size += int64(len(w.buf))
	return nil
}

// rotate increments the numbers of the existing files, removes the oldest file if there are maxFiles,
// and starts a new file.
func (w *Writer) rotate() error {
	if err := w.file.Close(); err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	for i := w.maxFiles - 1; i >= 1; i-- {
		err := os.Rename(fileName(w.path, i-1), fileName(w.path, i))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("attribution log: %w", err)
		}
	}
	if w.maxFiles == 1 {
		if err := os.Remove(w.path); err != nil {
			return fmt.Errorf("attribution log: %w", err)
		}
	}
	return w.open()
}

// fileName returns the name of the i-th file of a log. File 0 is the newest one.
func fileName(path string, i int) string {
	if i == 0 {
		return path
	}
	return fmt.Sprintf("%s.%d", path, i)
}

// Close closes the current file and the encoder. The writer cannot be used afterwards.
func (w *Writer) Close() error {
	if err := errors.Join(w.encoder.Close(), w.file.Close()); err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	return nil
}
