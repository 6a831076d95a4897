package payload

import (
	"crypto/sha1"
	"crypto/sha256"
	"hash"
	"hash/crc32"
	"hash/crc64"
)

// checksumPrefix is the start of the name of each header or trailer line that holds a checksum. The
// name ends with the algorithm.
const checksumPrefix = "x-amz-checksum-"

// nvmePolynomial is the polynomial of CRC-64/NVME in reversed bit order.
const nvmePolynomial = 0x9a6c9329ac4bc9b5

var (
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
	nvmeTable       = crc64.MakeTable(nvmePolynomial)
)

// NewChecksum returns a hash that computes the checksum of an x-amz-checksum algorithm, such as
// "crc32c". It returns nil if the algorithm is unknown.
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
