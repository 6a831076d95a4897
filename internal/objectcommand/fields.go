package objectcommand

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/simwire"
)

// Exclusive upper limits of the values of fields.
const (
	shardLimit           = 1 << 24
	dispatcherCountLimit = 1 << 16
)

// maxShownBytes is the highest number of bytes of an invalid value that an error quotes.
const maxShownBytes = 40

// fieldSet is a set of required fields. Its bits are in the order of the names in requiredFields.
type fieldSet uint

const (
	fieldClass fieldSet = 1 << iota
	fieldPlan
	fieldTimeout
	fieldVolume
	fieldUnits
	fieldShard
	fieldHosts
)

// requiredFields holds the names of the fields that every command must have.
var requiredFields = []string{"c", "t", "d", "volume", "units", "shard", "hosts"}

// parseFields parses a list of fields of the form "name=value", separated by commas, into request.
// It ignores fields with an unknown name.
func (s *Schema) parseFields(list string, request *dispatch.Request) error {
	var seen fieldSet
	for pair := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("expected name=value, got %q", pair)
		}
		field, err := s.parseField(name, value, request)
		if err != nil {
			return err
		}
		if seen&field != 0 {
			return fmt.Errorf("%s: given twice", name)
		}
		seen |= field
	}
	for i, name := range requiredFields {
		if seen&(1<<i) == 0 {
			return fmt.Errorf("%s: missing", name)
		}
	}
	return nil
}

// parseField parses one field into request. It returns the set that holds only this field, or the
// empty set if the name is unknown.
func (s *Schema) parseField(name, value string, request *dispatch.Request) (fieldSet, error) {
	switch name {
	case "c":
		return fieldClass, lookup(s.Classes, name, "a class of the settings", value, &request.Class)
	case "t":
		return fieldPlan, lookup(s.Plans, name, "a plan of the settings", value, &request.Plan)
	case "d":
		return fieldTimeout, parseTimeout(name, value, request)
	case "volume":
		request.Volume = dispatch.VolumeID(value)
		if !isHexID(value) {
			return 0, fieldError(name, "16 hex digits", value)
		}
		return fieldVolume, nil
	case "units":
		return fieldUnits, s.parseUnits(name, value, request)
	case "shard":
		return fieldShard, s.parseShard(name, value, request)
	case "hosts":
		return fieldHosts, parseHosts(name, value, request)
	}
	return 0, nil
}

// lookup sets *index to the index that a table holds for the name in value. field and expected are
// the field's name and the valid values, for the error that lookup returns if the name is unknown.
func lookup(table map[string]int, field, expected, value string, index *int) error {
	i, ok := table[value]
	if !ok {
		return fieldError(field, expected, value)
	}
	*index = i
	return nil
}

func parseTimeout(name, value string, request *dispatch.Request) error {
	milliseconds, ok := simwire.ParseFinite(value)
	if !ok || milliseconds <= 0 || milliseconds > float64(maxTimeout/time.Millisecond) {
		return fieldError(name, "milliseconds above 0, an hour at most", value)
	}
	request.Timeout = time.Duration(milliseconds * float64(time.Millisecond))
	return nil
}

func (s *Schema) parseUnits(name, value string, request *dispatch.Request) error {
	units, ok := simwire.ParseFinite(value)
	if !ok || units <= 0 || s.MaxUnits > 0 && units > s.MaxUnits {
		return fieldError(name, fmt.Sprintf("above 0, %g at most", s.MaxUnits), value)
	}
	request.Units = units
	return nil
}

func (s *Schema) parseShard(name, value string, request *dispatch.Request) error {
	shard, err := strconv.Atoi(value)
	inRange := shard >= int(dispatch.AnyShard) && shard < shardLimit && (s.Shards <= 0 || shard < s.Shards)
	if err != nil || !inRange {
		return fieldError(name, fmt.Sprintf("-1 to %d", s.Shards-1), value)
	}
	request.Shard = dispatch.Shard(shard)
	return nil
}

func parseHosts(name, value string, request *dispatch.Request) error {
	hosts, err := strconv.Atoi(value)
	if err != nil || hosts < 1 || hosts >= dispatcherCountLimit {
		return fieldError(name, "1 or more", value)
	}
	request.Dispatchers = hosts
	return nil
}

// fieldError returns an error that names a field, the values that are valid, and the start of the
// value that the client sent.
func fieldError(name, expected, got string) error {
	return fmt.Errorf("%s: expected %s, got %q", name, expected, got[:min(len(got), maxShownBytes)])
}
