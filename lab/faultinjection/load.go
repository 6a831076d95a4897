package faultinjection

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"chalkstand/lab/invariants"
)

const (
	objectsPerVolume      = 40 // small objects, which writes replace and deletes remove
	largeObjectsPerVolume = 4  // large objects, of which clients only read ranges

	smallObjectBytes = 2_000
	largeObjectBytes = 200_000

	// maxReadBytes is the largest size of a range that belongs to class read. Larger ranges belong to class scan.
	maxReadBytes = 65_536
)

// requestGrace is how long a client goes on waiting after a response has become overdue.
const requestGrace = time.Second

// storeObjects stores the initial objects directly in the nodes' data sets, without requests.
func (r *run) storeObjects() {
	g := r.gateways[0].gateway
	for _, volume := range r.volumes {
		for i := range largeObjectsPerVolume {
			key := fmt.Sprintf("large-%d", i)
			body := objectContent(fmt.Sprintf("seed-%s-%d", volume, i), largeObjectBytes)
			r.largeObjects["/"+volume+"/"+key] = body
			r.datasets[g.Shard(volume, key)].Store(volume, key, body)
		}
		for i := range objectsPerVolume {
			key := fmt.Sprintf("o-%d", i)
			body := objectContent("seed-"+volume+key, smallObjectBytes)
			r.datasets[g.Shard(volume, key)].Store(volume, key, body)
		}
	}
}

// generateLoad is an open-loop load: it starts requests at exponentially distributed intervals and does not wait
// for the responses to earlier requests.
func (r *run) generateLoad(ctx context.Context, base time.Duration) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 2))
	next := base
	for n := 0; ctx.Err() == nil; n++ {
		r.mu.Lock()
		load := r.load
		r.mu.Unlock()
		rate := r.options.Rate * load.surgeFactor
		extra := r.options.Rate / float64(len(r.volumes)) * (load.floodFactor - 1)
		next += time.Duration(-math.Log(1-rng.Float64()) / (rate + extra) * float64(time.Second))
		if !sleep(ctx, next-r.now()) {
			return
		}
		volume := rng.IntN(len(r.volumes))
		if rng.Float64()*(rate+extra) < extra {
			volume = load.volume
		}
		request := r.newRequest(rng, n, r.volumes[volume])
		if rng.Float64() < load.earlyCancelShare {
			request.cancelAfter = time.Duration(20+rng.IntN(200)) * time.Millisecond
		}
		if rng.Float64() < load.hotKeyShare && request.class == classWrite {
			volume = load.volume
			request.key = r.volumes[volume] + "/o-0"
			request.path = "/" + request.key
		}
		r.startClient(ctx, request, (volume+rng.IntN(2))%r.options.Gateways)
	}
}

// startClient sends a request in a new goroutine. If maxClients requests are in progress, it drops the request.
func (r *run) startClient(ctx context.Context, request clientRequest, gatewayIndex int) {
	select {
	case r.clients <- struct{}{}:
	default:
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.clients }()
		r.runClient(ctx, request, gatewayIndex)
	})
}

// newRequest draws the nth request at random. Most requests read, write or delete a small object; the others read a
// range of a large object or write a bulk object.
func (r *run) newRequest(rng *rand.Rand, n int, volume string) clientRequest {
	key := fmt.Sprintf("%s/o-%d", volume, rng.IntN(objectsPerVolume))
	request := clientRequest{
		tag:    fmt.Sprintf("t%d", n),
		method: http.MethodGet,
		key:    key,
		path:   "/" + key,
		check:  checkWholeContent,
	}
	switch percent := rng.IntN(100); {
	case percent < 50:
	case percent < 60:
		r.readRange(&request, rng, volume)
	case percent < 88:
		request.method, request.class, request.check = http.MethodPut, classWrite, nil
		request.body = objectContent(request.tag, 500+rng.IntN(8000))
	case percent < 94:
		request.method, request.class, request.check = http.MethodPut, classBulk, nil
		request.path += "-bulk"
		request.key += "-bulk"
		request.body = objectContent(request.tag, 70_000+rng.IntN(150_000))
	default:
		request.method, request.class, request.check = http.MethodDelete, classRemove, nil
	}
	return request
}

// readRange turns the request into a read of a random range of a large object, and sets the check of the content.
func (r *run) readRange(request *clientRequest, rng *rand.Rand, volume string) {
	request.path = fmt.Sprintf("/%s/large-%d", volume, rng.IntN(largeObjectsPerVolume))
	first := rng.IntN(largeObjectBytes - 1000)
	last := min(first+1000+rng.IntN(150_000), largeObjectBytes) - 1
	length := last - first + 1
	request.byteRange = fmt.Sprintf("bytes=%d-%d", first, last)
	if length > maxReadBytes {
		request.class = classScan
	}
	stored := string(r.largeObjects[request.path][first : last+1])
	request.check = func(status int, body []byte) string {
		if status == http.StatusPartialContent && string(body) != stored {
			return fmt.Sprintf("%d bytes of a range of %d, not as stored", len(body), length)
		}
		return ""
	}
}

// runClient sends a request and records the outcome. If the gateway rejects the request, runClient waits for the
// Retry-After and sends it once more under a new tag.
func (r *run) runClient(ctx context.Context, request clientRequest, gatewayIndex int) {
	for try := range 2 {
		r.mu.Lock()
		g := r.gateways[gatewayIndex]
		record := &invariants.Request{
			Tag:     request.tag,
			Gateway: g.name,
			Class:   request.class,
			Key:     request.key,
			Sent:    r.now(),
		}
		r.requests = append(r.requests, record)
		r.mu.Unlock()
		c := client{
			pool:    g.pool,
			now:     r.now,
			timeout: r.params.Classes[request.class].Deadline + r.params.ResponseTolerance + requestGrace,
			onExtra: func(last *invariants.Request) { r.locked(func() { last.Responses++ }) },
		}
		retryAfter := c.send(context.WithoutCancel(ctx), request, record)
		if retryAfter == 0 || try > 0 || !sleep(ctx, retryAfter) {
			return
		}
		request.tag += "r"
		if request.method == http.MethodPut {
			request.body = objectContent(request.tag, len(request.body))
		}
	}
}
