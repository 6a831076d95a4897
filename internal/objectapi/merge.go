package objectapi

import (
	"cmp"
	"net/url"
	"slices"
	"strings"
)

// EncodeName encodes a name for a list that the client requested with encoding-type=url.
func EncodeName(s string) string { return strings.ReplaceAll(url.QueryEscape(s), "%2F", "/") }

// decodeName replaces *s, a name that is encoded for encoding-type=url, with the decoded name.
func decodeName(s *string) error {
	name, err := url.QueryUnescape(*s)
	if err != nil {
		return err
	}
	*s = name
	return nil
}

// Page is one page of a list of objects. Its names are not encoded.
type Page struct {
	Contents  []Content
	Prefixes  []string // common prefixes
	Truncated bool     // The list has more names after this page.
	Next      string   // last name of the page if the page is truncated, otherwise empty
}

// ParseList parses a ListBucketResult that was requested with encoding-type=url into a Page.
func ParseList(doc []byte, yield YieldFunc) (Page, error) {
	var r ListBucketResult
	if err := unmarshal(doc, &r, yield); err != nil {
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

// listEntry is an entry of a list of objects. It is a common prefix if content is nil, and an object
// otherwise.
type listEntry struct {
	name    string
	content *Content
}

// MergePages merges one page from each of several shards into one page of at most limit names. A
// common prefix that several shards list counts once.
//
// The page of a shard must hold, in sorted order, the shard's first names that are greater than
// after. The page must hold at most limit names, and exactly limit names if it is truncated. The
// names that a truncated page leaves out are therefore greater than the last name of the merged
// page, and a later merged page lists them.
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

// sortListEntries sorts entries by name and removes repeated common prefixes. It also removes the
// common prefix that is equal to after, because the previous page ended with this prefix.
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

// ParseUploads parses a ListMultipartUploadsResult that was requested with encoding-type=url. The
// names in its result are decoded.
func ParseUploads(doc []byte, yield YieldFunc) (ListMultipartUploadsResult, error) {
	var r ListMultipartUploadsResult
	if err := unmarshal(doc, &r, yield); err != nil {
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

// uploadEntry is an entry of a list of uploads. It is a common prefix if upload is nil, and an upload
// otherwise.
type uploadEntry struct {
	name   string
	id     string
	upload *Upload
}

// MergeUploads merges the lists of several shards into one list of at most limit entries. It sorts
// the entries by key and then by upload ID.
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

// sortUploadEntries sorts entries by name and then by upload ID, and removes repeated common
// prefixes.
func sortUploadEntries(entries []uploadEntry) []uploadEntry {
	slices.SortFunc(entries, func(a, b uploadEntry) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.id, b.id))
	})
	return slices.CompactFunc(entries, func(a, b uploadEntry) bool {
		return a.name == b.name && a.upload == nil && b.upload == nil
	})
}
