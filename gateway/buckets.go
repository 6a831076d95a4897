package gateway

import (
	"encoding/xml"
	"net/http"
	"slices"
	"strings"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// defaultRegion is the region for which the specification of the object API requires an empty location
// constraint.
const defaultRegion = "us-east-1"

// listBuckets responds with the merged bucket lists of all shards. The response holds only the buckets
// that the access key may access.
func (t *transaction) listBuckets() {
	shards := t.conn.worker.gateway.shards.Volume("", 0).Shards()
	t.scatterBucket(shards, objectapi.ListBuckets, http.MethodGet, nil, func(responses []shardResponse) {
		if !t.requireAll(responses, http.StatusOK) {
			return
		}
		created := map[string]string{} // the earliest creation date of each bucket among the shards
		for _, r := range responses {
			var list objectapi.ListAllMyBucketsResult
			if xml.Unmarshal(r.document, &list) != nil {
				t.respondFailure(false)
				return
			}
			for _, b := range list.Buckets {
				earliest, found := created[b.Name]
				if t.key.mayAccess(b.Name) && (!found || b.CreationDate < earliest) {
					created[b.Name] = b.CreationDate
				}
			}
		}
		result := objectapi.ListAllMyBucketsResult{Owner: objectapi.DefaultOwner}
		for name, date := range created {
			result.Buckets = append(result.Buckets, objectapi.Bucket{Name: name, CreationDate: date})
		}
		slices.SortFunc(result.Buckets, func(a, b objectapi.Bucket) int { return strings.Compare(a.Name, b.Name) })
		t.respondXML(result)
	})
}

// createBucket creates the bucket on all shards of its volume. It responds with an error if the bucket
// already exists on all of them.
func (t *transaction) createBucket() {
	shards := t.volume.placement.Shards()
	t.scatterBucket(shards, objectapi.CreateBucket, http.MethodPut, nil, func(responses []shardResponse) {
		if !t.requireAll(responses, http.StatusOK, http.StatusConflict) {
			return
		}
		if !anyStatus(responses, http.StatusOK) {
			t.respondErrorCode(objectapi.NewError(objectapi.CodeBucketAlreadyOwnedByYou,
				"Your previous request to create the named bucket succeeded and you already own it."))
			return
		}
		t.respond(http.StatusOK, http1.AppendHeader([]byte(nil), "Location", "/"+t.op.Bucket), nil)
	})
}

// anyStatus reports whether at least one shard has responded with the given status.
func anyStatus(responses []shardResponse, status int) bool {
	return slices.ContainsFunc(responses, func(r shardResponse) bool { return r.status == status })
}

// deleteBucket deletes the bucket on all shards of its volume, provided that the bucket is empty on
// each of them. It first lists one key per shard.
func (t *transaction) deleteBucket() {
	firstKey := objectapi.Query{{Name: "list-type", Value: "2"}, {Name: "max-keys", Value: "1"}}
	shards := t.volume.placement.Shards()
	t.scatterBucket(shards, objectapi.ListObjectsV2, http.MethodGet, firstKey, func(responses []shardResponse) {
		if !anyStatus(responses, http.StatusOK) && !t.requireAll(responses, http.StatusOK) {
			return
		}
		if !t.requireAll(responses, http.StatusOK, http.StatusNotFound) {
			return
		}
		for _, r := range responses {
			page, err := objectapi.ParseList(r.document, nil)
			if r.status == http.StatusOK && (err != nil || len(page.Contents) > 0) {
				t.respondBucketNotEmpty()
				return
			}
		}
		t.deleteEmptyBucket()
	})
}

func (t *transaction) respondBucketNotEmpty() {
	t.respondErrorCode(objectapi.NewError(objectapi.CodeBucketNotEmpty, "The bucket you tried to delete is not empty."))
}

// deleteEmptyBucket deletes a bucket that was empty on all shards when deleteBucket listed it. If an
// object has been written since, that object's shard rejects the deletion. In this case the bucket is
// created again on the shards that have deleted it.
func (t *transaction) deleteEmptyBucket() {
	shards := t.volume.placement.Shards()
	t.scatterBucket(shards, objectapi.DeleteBucket, http.MethodDelete, nil, func(responses []shardResponse) {
		var deleted []dispatch.Shard
		for _, r := range responses {
			if r.status == http.StatusNoContent {
				deleted = append(deleted, r.shard)
			}
		}
		if len(deleted) < len(responses) && anyStatus(responses, http.StatusConflict) {
			t.scatterBucket(deleted, objectapi.CreateBucket, http.MethodPut, nil, func([]shardResponse) {
				t.respondBucketNotEmpty()
			})
			return
		}
		if t.requireAll(responses, http.StatusNoContent, http.StatusNotFound) {
			t.respond(http.StatusNoContent, nil, nil)
		}
	})
}

// getBucketLocation responds with the gateway's region if the bucket exists. It asks only the first
// shard of the volume.
func (t *transaction) getBucketLocation() {
	first := t.volume.placement.Shards()[:1]
	query := objectapi.Query{{Name: "location"}}
	t.scatterBucket(first, objectapi.GetBucketLocation, http.MethodGet, query, func(responses []shardResponse) {
		if !t.requireAll(responses, http.StatusOK) {
			return
		}
		var doc objectapi.LocationConstraint
		if region := t.conn.worker.gateway.cfg.Region; region != defaultRegion {
			doc.Location = region
		}
		t.respondXML(doc)
	})
}
