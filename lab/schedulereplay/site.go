package schedulereplay

import (
	"fmt"
	"net/http"
	"strings"

	"chalkstand/internal/modelcheck"
)

// The clients sign their requests with this access key, which gatewaySettings defines.
const (
	keyID  = "FORCED"
	secret = "forced-secret"
)

// gatewaySettings is the configuration of the gateway. It has one class for each class of the model
// checker's scenarios that can be replayed.
const gatewaySettings = `{
	"name": "forced", "listen": "127.0.0.1:0", "loops": 1, "shards": 1,
	"keys": [{"id": "FORCED", "secret": "forced-secret", "buckets": ["*"], "write": true}],
	"classes": [
		{"name": "safe", "aim": "8s", "deadline": "10s", "worth": 1, "effect": "safe"},
		{"name": "keyed", "aim": "8s", "deadline": "10s", "worth": 1,
			"effect": "keyed", "group": "shard", "window": "30s"},
		{"name": "in turn", "aim": "8s", "deadline": "10s", "worth": 1,
			"effect": "keyed", "group": "shard", "window": "30s", "in_turn": true},
	],
	"plans": [{"name": "p", "rate": 1000, "reserve": 1000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "p"}],
	"operations": [
		{"operations": ["GetObject"], "class": "safe", "units": 1},
		{"operations": ["DeleteObject"], "class": "keyed", "units": 1},
		{"operations": ["*"], "class": "in turn", "units": 1},
	],
	"rules": {"usual_units": 1, "largest_units": 8, "settle": "60ms"},
	"log": {"level": "error"},
}`

// methods maps each class of the scenarios to the HTTP method of an operation that has this class in
// gatewaySettings.
var methods = map[string]string{
	"safe":    http.MethodGet,
	"keyed":   http.MethodDelete,
	"in turn": http.MethodPut,
}

// streamedBody is the body of a response that a node sends in two parts.
var streamedBody = strings.Repeat("x", 256<<10)

// responses holds the bytes that a node sends for each kind of move.
var responses = map[modelcheck.MoveKind]string{
	modelcheck.RespondOK:       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	modelcheck.RespondAndClose: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	modelcheck.RespondError:    "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
	modelcheck.RespondReject:   "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno",
	modelcheck.RespondStart: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		len(streamedBody), streamedBody[:len(streamedBody)/2]),
	modelcheck.RespondRest:    streamedBody[len(streamedBody)/2:],
	modelcheck.RespondInvalid: "what?\r\n\r\n",
	modelcheck.RespondTwice: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" +
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
}
