// Package attributionlog saves latency accounts in files and reads them again. A file
// begins with a line that names its form and version; records follow, each with its
// length and a checksum, compressed with zstd. A record that was cut short by a
// crash, or damaged, ends what is read of its file, and is cut off before the file
// is written on. Files are bounded in size and number.
package attributionlog

import (
	"bytes"
	"chalkstand/attribution"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// magic begins each file; the version stands in it.
const magic = "chalkstand accounts log "

// maxRecord bounds one record, compressed and not.
const maxRecord = 64 << 20

// frameSize is what stands before each record: its length and the checksum of its
// compressed bytes.
const frameSize = 4 + 8

// Record is one entry of the log: a closed slot, or a correction to one.
type Record struct {
	Run   attribution.Run         `json:"run"`
	Saved time.Time               `json:"saved"` // by the wall clock then, which may have been set meanwhile
	At    time.Duration           `json:"at_ns"` // the same moment in the run's own time
	Slot  *attribution.Window     `json:"slot,omitempty"`
	Correction   *attribution.Correction `json:"fix,omitempty"`
}

// NewRecord returns the record of what a keeper wants saved.
func NewRecord(run attribution.Run, saved time.Time, at time.Duration, a attribution.Action) Record {
	r := Record{Run: run, Saved: saved, At: at}
	switch a := a.(type) {
	case attribution.SlotClosed:
		r.Slot = &a.Window
	case attribution.SlotCorrected:
		r.Correction = &a.Correction
	}
	return r
}

// ClockStep returns how far the wall clock had been set since the run's start.
func (r *Record) ClockStep() time.Duration { return r.Saved.Sub(r.Run.At(r.At)) }

// Writer appends records. It is not safe for concurrent use.
type Writer struct {
	path  string
	maxFileSize int64 // of one file
	maxFiles int
	file     *os.File
	size  int64
	encoder   *zstd.Encoder
	buf   []byte
}

// Open opens a log for writing on. What a crash left of a record at its end is cut
// off. bytes bounds a file and files how many there are: path, path.1 (older) and
// so on. A file of another form or a newer version is an error, and left alone.
func Open(path string, bytes int64, files int) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("attribution log: %w", err)
	}
	w := &Writer{path: path, maxFileSize: bytes, maxFiles: max(files, 1), encoder: enc}
	if err := w.open(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *Writer) open() error {
	f, err := os.OpenFile(w.path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	size, err := w.recover(f)
	if err != nil {
		f.Close()
		return err
	}
	w.file, w.size = f, size
	return nil
}

// recover finds the end of the whole records and cuts off what follows. A file that
// ends within its first line is begun anew.
func (w *Writer) recover(f *os.File) (int64, error) {
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
	end, err := scan(f, info.Size(), nil)
	var d *CorruptionError
	if err != nil && !errors.As(err, &d) {
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

func header() []byte { return fmt.Appendf(nil, "%s%d\n", magic, attribution.Version) }

// Append writes a record, in one write. It begins another file where this one is
// full.
func (w *Writer) Append(r Record) error {
	plain, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	w.buf = append(w.buf[:0], make([]byte, frameSize)...)
	w.buf = w.encoder.EncodeAll(plain, w.buf)
	body := w.buf[frameSize:]
	binary.LittleEndian.PutUint32(w.buf, uint32(len(body)))
	binary.LittleEndian.PutUint64(w.buf[4:], xxhash.Sum64(body))
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

// rotate begins another file. The oldest goes.
func (w *Writer) rotate() error {
	if err := w.file.Close(); err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	for i := w.maxFiles - 1; i >= 1; i-- {
		if err := os.Rename(fileName(w.path, i-1), fileName(w.path, i)); err != nil && !errors.Is(err, os.ErrNotExist) {
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

// fileName is that of the i-th file, the newest being 0.
func fileName(path string, i int) string {
	if i == 0 {
		return path
	}
	return fmt.Sprintf("%s.%d", path, i)
}

// Close ends writing.
func (w *Writer) Close() error {
	w.encoder.Close()
	if err := w.file.Close(); err != nil {
		return fmt.Errorf("attribution log: %w", err)
	}
	return nil
}

// CorruptionError tells where a file stops being whole. What lies before was read.
type CorruptionError struct {
	File string
	Offset   int64 // bytes from its start
	Reason string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s: whole up to byte %d; there %s", d.File, d.Offset, d.Reason)
}

// Read returns the records of a log, oldest first, from all its files. Where a file
// is damaged its records up to there are returned, and the damage is told. An error
// means that nothing of that kind can be read: no file, another form, or a newer
// version.
func Read(path string) (recs []Record, damage []*CorruptionError, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, nil, fmt.Errorf("attribution log: %w", err)
	}
	last := 0
	for {
		if _, err := os.Stat(fileName(path, last+1)); err != nil {
			break
		}
		last++
	}
	for i := last; i >= 0; i-- {
		f, err := os.Open(fileName(path, i))
		if err != nil {
			return nil, nil, fmt.Errorf("attribution log: %w", err)
		}
		info, err := f.Stat()
		if err == nil {
			_, err = scan(f, info.Size(), func(r Record) { recs = append(recs, r) })
		}
		f.Close()
		var d *CorruptionError
		switch {
		case errors.As(err, &d):
			d.File = fileName(path, i)
			damage = append(damage, d)
		case err != nil:
			return nil, nil, fmt.Errorf("attribution log %s: %w", fileName(path, i), err)
		}
	}
	return recs, damage, nil
}

// scan reads the whole records of a file of a size and returns where they end. take
// may be nil.
func scan(r io.Reader, size int64, take func(Record)) (int64, error) {
	head := make([]byte, min(int64(len(header())), size))
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, err
	}
	if !bytes.Equal(head, header()) {
		return 0, headerError(head)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRecord))
	if err != nil {
		return 0, err
	}
	defer dec.Close()
	at := int64(len(head))
	for at < size {
		rec, n, err := readRecord(r, size-at, dec)
		if err != nil {
			return at, &CorruptionError{Offset: at, Reason: err.Error()}
		}
		if take != nil {
			take(rec)
		}
		at += n
	}
	return at, nil
}

func headerError(head []byte) error {
	if len(head) == 0 || bytes.HasPrefix(header(), head) {
		return &CorruptionError{Offset: 0, Reason: "its first line is cut short"}
	}
	v, ok := bytes.CutPrefix(head, []byte(magic))
	if !ok {
		return errors.New("this is no log of accounts")
	}
	return fmt.Errorf("version %q; this program reads version %d", bytes.TrimRight(v, "\n"), attribution.Version)
}

func readRecord(r io.Reader, left int64, dec *zstd.Decoder) (rec Record, n int64, err error) {
	var fr [frameSize]byte
	if left < frameSize {
		return rec, 0, fmt.Errorf("a record's frame is cut short: %d of %d bytes", left, frameSize)
	}
	if _, err := io.ReadFull(r, fr[:]); err != nil {
		return rec, 0, err
	}
	size := int64(binary.LittleEndian.Uint32(fr[:]))
	if size > maxRecord {
		return rec, 0, fmt.Errorf("a record claims %d bytes; at most %d are believed", size, maxRecord)
	}
	if size > left-frameSize {
		return rec, 0, fmt.Errorf("a record is cut short: %d of %d bytes", left-frameSize, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return rec, 0, err
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(fr[4:]) {
		return rec, 0, errors.New("a record's checksum does not hold")
	}
	plain, err := dec.DecodeAll(body, nil)
	if err != nil {
		return rec, 0, fmt.Errorf("a record cannot be unpacked: %w", err)
	}
	if err := json.Unmarshal(plain, &rec); err != nil {
		return rec, 0, fmt.Errorf("a record cannot be read: %w", err)
	}
	return rec, frameSize + size, nil
}
