package mutation

// readerFile names the source file of the reader of node responses.
const readerFile = "internal/upstreamhttp/reader.go"

// readerMutants lists the mutants of the reader of node responses.
var readerMutants = []Mutant{
	{
		Name:              "a second request on a connection",
		File:              readerFile,
		From:              "\tif r.state != Idle {\n\t\treturn false\n\t}",
		To:                "\tif r.state == Broken {\n\t\treturn false\n\t}",
		EquivalentBecause: "the forwarder sends one at a time: the guard is behind it",
	},
	{
		Name: "a response without a request is accepted",
		File: readerFile,
		From: `	return r.fail("a response without a request")`,
		To:   "\treturn Step{Kind: NeedMore, Consumed: len(b)}",
	},
	{
		Name: "bytes after the response do not end the connection",
		File: readerFile,
		From: "!r.Response.Close && !r.surplus",
		To:   "!r.Response.Close",
	},
	{
		Name: "the node's Connection: close is ignored",
		File: readerFile,
		From: "r.state == Complete && !r.Response.Close && !r.surplus",
		To:   "r.state == Complete && !r.surplus",
	},
	{
		Name:              "a partial response leaves the connection reusable",
		File:              readerFile,
		From:              "\t\tr.state = Broken\n\t}\n}\n\n// MarkBroken",
		To:                "\t\tr.state = Idle\n\t}\n}\n\n// MarkBroken",
		EquivalentBecause: "the forwarder closes the connection of a request that ends before its response",
	},
	{
		Name: "a body ends short",
		File: readerFile,
		From: "\tcase r.remaining == 0:",
		To:   "\tcase r.remaining <= 8:",
	},
}
