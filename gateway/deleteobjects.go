package gateway

import (
	"encoding/xml"
	"net/http"

	"chalkstand/dispatch"
	"chalkstand/internal/objectapi"
)

// deleteObjects deletes several objects. It sends each shard the keys that the shard stores. If a shard
// fails, the response lists an error for each of its keys, and the keys of other shards are not
// affected.
func (t *transaction) deleteObjects() {
	request, apiErr := objectapi.ParseDelete(t.buffered)
	if apiErr != nil {
		t.respondErrorCode(apiErr)
		return
	}
	byShard := map[dispatch.Shard][]objectapi.ObjectIdentifier{}
	var shards []dispatch.Shard
	for _, o := range request.Objects {
		s := t.volume.placement.Shard(o.Key)
		if byShard[s] == nil {
			shards = append(shards, s)
		}
		byShard[s] = append(byShard[s], o)
	}
	t.scatter(shards, func(s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		doc := objectapi.Marshal(objectapi.DeleteRequest{Objects: byShard[s]})
		query := objectapi.Query{{Name: "delete"}}
		return t.newShardRequest(objectapi.DeleteObjects, http.MethodPost, t.op.Bucket, query, s, doc)
	}, func(responses []shardResponse) {
		var result objectapi.DeleteResult
		for _, r := range responses {
			deleted, apiErr := parseDeleted(r)
			if apiErr == nil {
				result.Deleted = append(result.Deleted, deleted.Deleted...)
				result.Error = append(result.Error, deleted.Error...)
				continue
			}
			if apiErr.Code == objectapi.CodeNoSuchBucket {
				t.respondErrorCode(apiErr)
				return
			}
			for _, o := range byShard[r.shard] {
				e := objectapi.DeleteError{Key: o.Key, Code: apiErr.Code, Message: apiErr.Message}
				result.Error = append(result.Error, e)
			}
		}
		if request.Quiet {
			result.Deleted = nil
		}
		t.respondXML(result)
	})
}

// parseDeleted returns the result that a shard reported for its keys. If the request to the shard has
// failed as a whole, it returns an error that applies to all of these keys.
func parseDeleted(r shardResponse) (objectapi.DeleteResult, *objectapi.Error) {
	var result objectapi.DeleteResult
	outcomeUnknown := objectapi.NewError(objectapi.CodeInternalError,
		"We encountered an internal error; whether the object was deleted is not known.")
	switch {
	case r.kind == resultRejected:
		return result, objectapi.NewError(objectapi.CodeSlowDown, "Please reduce your request rate.")
	case r.kind != resultBuffered:
		return result, outcomeUnknown
	case r.status != http.StatusOK:
		if apiErr, ok := objectapi.ParseError(r.document); ok {
			return result, apiErr
		}
		return result, outcomeUnknown
	case xml.Unmarshal(r.document, &result) != nil:
		return objectapi.DeleteResult{}, outcomeUnknown
	}
	return result, nil
}
