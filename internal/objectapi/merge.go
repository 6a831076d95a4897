package objectapi

import (
	"cmp"
	"net/url"
	"slices"
	"strings"
)

// EncodeName encodes a name for encoding-type=url.
func EncodeName(s string) string { return strings.ReplaceAll(url.QueryEscape(s), "%2F", "/") }

// decodeName decodes a name of encoding-type=url in place.
func decodeName(s *string) error {
	name, err := url.QueryUnescape(*s)
	if err != nil {
		return err
	}
	*s = name
	return nil
}

// Page is a part of a list of objects. Its names are not encoded.
type Page struct {
	Contents  []Content
	Prefixes  []string
	Truncated bool
	Next      string // the last name, if the page is truncated
}

// ParseList parses a ListBucketResult with encoding-type=url.
func ParseList(doc []byte, pause Pause) (Page, error) {
	var r ListBucketResult
	if err := unmarshal(doc, &r, pause); err != nil {
		return Page{}, err
	}
	p := Page{Contents: r.Contents, Truncated: r.IsTruncated}
	for i := range p.Contents {
		if err := decodeName(&p.Contents[i].Key); err != nil {
			return Page{}, err
		}
	}
	for _, c := range r.CommonPrefixes {
		if err := decodeName(&c.Prefix); err != nil {
			return Page{}, err
		}
		p.Prefixes = append(p.Prefixes, c.Prefix)
	}
	return p, nil
}

// listEntry is an object of a list, or a common prefix if content is nil.
type listEntry struct {
	name    string
	content *Content
}

// MergePages merges the pages of several shards into one page of at most limit names. Each of
// pages holds the first names of its shard after the name after, in order, and at most limit
// of them. A prefix of several shards counts once. Names that do not fit come with the
// next page: a shard whose page is truncated has given limit names, so the names it left out
// are behind the merged page.
func MergePages(pages []Page, after string, limit int) Page {
	var entries []listEntry
	truncated := false
	for i := range pages {
		truncated = truncated || pages[i].Truncated
		for j := range pages[i].Contents {
			c := &pages[i].Contents[j]
			entries = append(entries, listEntry{c.Key, c})
		}
		for _, prefix := range pages[i].Prefixes {
			entries = append(entries, listEntry{prefix, nil})
		}
	}
	entries = sortListEntries(entries, after)
	if len(entries) > limit {
		entries = entries[:limit]
		truncated = true
	}
	var merged Page
	for _, e := range entries {
		if e.content != nil {
			merged.Contents = append(merged.Contents, *e.content)
		} else {
			merged.Prefixes = append(merged.Prefixes, e.name)
		}
	}
	if truncated && len(entries) > 0 {
		merged.Truncated = true
		merged.Next = entries[len(entries)-1].name
	}
	return merged
}

// sortListEntries sorts entries, and drops repeated prefixes and the prefix that the last page
// ended with.
func sortListEntries(entries []listEntry, after string) []listEntry {
	slices.SortFunc(entries, func(a, b listEntry) int { return strings.Compare(a.name, b.name) })
	entries = slices.CompactFunc(entries, func(a, b listEntry) bool {
		return a.name == b.name && a.content == nil && b.content == nil
	})
	if after != "" {
		entries = slices.DeleteFunc(entries, func(e listEntry) bool { return e.name == after && e.content == nil })
	}
	return entries
}

// ParseUploads parses a ListMultipartUploadsResult with encoding-type=url.
func ParseUploads(doc []byte, pause Pause) (ListMultipartUploadsResult, error) {
	var r ListMultipartUploadsResult
	if err := unmarshal(doc, &r, pause); err != nil {
		return r, err
	}
	for i := range r.Upload {
		if err := decodeName(&r.Upload[i].Key); err != nil {
			return r, err
		}
	}
	for i := range r.CommonPrefixes {
		if err := decodeName(&r.CommonPrefixes[i].Prefix); err != nil {
			return r, err
		}
	}
	return r, nil
}

// uploadEntry is an upload of a list, or a common prefix if upload is nil.
type uploadEntry struct {
	name   string
	id     string
	upload *Upload
}

// MergeUploads merges the lists of several shards into one of at most limit entries, in the
// order of key and upload ID.
func MergeUploads(
	lists []ListMultipartUploadsResult,
	limit int,
) (uploads []Upload, prefixes []string, truncated bool) {
	var entries []uploadEntry
	for i := range lists {
		truncated = truncated || lists[i].IsTruncated
		for j := range lists[i].Upload {
			u := &lists[i].Upload[j]
			entries = append(entries, uploadEntry{u.Key, u.UploadID, u})
		}
		for _, p := range lists[i].CommonPrefixes {
			entries = append(entries, uploadEntry{name: p.Prefix})
		}
	}
	entries = sortUploadEntries(entries)
	if len(entries) > limit {
		entries = entries[:limit]
		truncated = true
	}
	for _, e := range entries {
		if e.upload != nil {
			uploads = append(uploads, *e.upload)
		} else {
			prefixes = append(prefixes, e.name)
		}
	}
	return uploads, prefixes, truncated
}

// sortUploadEntries sorts entries and drops repeated prefixes.
func sortUploadEntries(entries []uploadEntry) []uploadEntry {
	slices.SortFunc(entries, func(a, b uploadEntry) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.id, b.id))
	})
	return slices.CompactFunc(entries, func(a, b uploadEntry) bool {
		return a.name == b.name && a.upload == nil && b.upload == nil
	})
}
