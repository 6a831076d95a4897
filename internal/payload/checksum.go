package payload

import (
	"crypto/sha1"
	"crypto/sha256"
	"hash"
	"hash/crc32"
	"hash/crc64"
)

// checksumPrefix begins the name of a header or trailer field with a checksum. The algorithm
// follows.
const checksumPrefix = "x-amz-checksum-"

// nvmePolynomial is that of CRC-64/NVME, in reversed bit order.
const nvmePolynomial = 0x9a6c9329ac4bc9b5

var (
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
	nvmeTable       = crc64.MakeTable(nvmePolynomial)
)

// NewChecksum returns the hash of an algorithm of the x-amz-checksum family, such as "crc32c",
// or nil for an unknown one.
func NewChecksum(algorithm string) hash.Hash {
	switch algorithm {
	case "crc32":
		return crc32.NewIEEE()
	case "crc32c":
		return crc32.New(castagnoliTable)
	case "sha1":
		return sha1.New()
	case "sha256":
		return sha256.New()
	case "crc64nvme":
		return crc64.New(nvmeTable)
	}
	return nil
}
