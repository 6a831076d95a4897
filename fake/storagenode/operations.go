package storagenode

import (
	"net/http"

	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// parseOperation parses a net/http request with the parser that the gateway uses.
func parseOperation(r *http.Request) (objectapi.Operation, *objectapi.Error) {
	h := http1.Request{
		Method:  []byte(r.Method),
		Target:  []byte(r.RequestURI),
		Headers: http1.Headers{{Name: []byte("host"), Value: []byte(r.Host)}},
	}
	if s := r.Header.Get(headerCopySource); s != "" {
		h.Headers = append(h.Headers, http1.Header{Name: []byte(headerCopySource), Value: []byte(s)})
	}
	return objectapi.Parse(&h, nil)
}

// handler executes one kind of operation.
type handler func(*Dataset, objectapi.Operation, *http.Request) (response, *objectapi.Error)

var handlers = map[objectapi.Kind]handler{
	objectapi.ListBuckets:             (*Dataset).listBuckets,
	objectapi.CreateBucket:            (*Dataset).createBucket,
	objectapi.HeadBucket:              (*Dataset).headBucket,
	objectapi.GetBucketLocation:       (*Dataset).bucketLocation,
	objectapi.GetBucketVersioning:     (*Dataset).bucketVersioning,
	objectapi.DeleteBucket:            (*Dataset).deleteBucket,
	objectapi.ListObjectsV1:           (*Dataset).listObjects,
	objectapi.ListObjectsV2:           (*Dataset).listObjects,
	objectapi.ListMultipartUploads:    (*Dataset).listUploads,
	objectapi.DeleteObjects:           (*Dataset).deleteObjects,
	objectapi.PutObject:               (*Dataset).putBody,
	objectapi.UploadPart:              (*Dataset).putBody,
	objectapi.GetObject:               (*Dataset).getObject,
	objectapi.HeadObject:              (*Dataset).getObject,
	objectapi.DeleteObject:            (*Dataset).deleteObject,
	objectapi.CopyObject:              (*Dataset).copyObject,
	objectapi.UploadPartCopy:          (*Dataset).copyPart,
	objectapi.CreateMultipartUpload:   (*Dataset).createUpload,
	objectapi.CompleteMultipartUpload: (*Dataset).completeUpload,
	objectapi.AbortMultipartUpload:    (*Dataset).abortUpload,
	objectapi.ListParts:               (*Dataset).listParts,
}

// run executes an operation on the data set and returns the response to it.
func (d *Dataset) run(op objectapi.Operation, r *http.Request) response {
	handle, ok := handlers[op.Kind]
	if !ok {
		return errorResponse(objectapi.NewError(objectapi.CodeNotImplemented, "Not offered."), r.URL.Path)
	}
	resp, err := handle(d, op, r)
	if err != nil {
		return errorResponse(err, r.URL.Path)
	}
	return resp
}
