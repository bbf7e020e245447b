package loopback

import (
	"net/netip"
	"os"
)

const (
	// numberBits is the part of an address that numbers the daemons of one process; the other bits tell processes apart.
	numberBits = 10
	// MaxNumber is the highest number of a daemon.
	MaxNumber = 1<<numberBits - 1

	processBits = 13
	firstByte   = 127
	// topBit keeps the addresses away from 127.0.0.1 and its neighbours.
	topBit = 1 << (numberBits + processBits)
)

// Address returns the loopback address of the nth daemon of this process, from 1 to [MaxNumber]. Tests in other processes
// get other addresses.
func Address(n int) string { return address(os.Getpid(), n) }

func address(pid, n int) string {
	host := topBit | pid&(1<<processBits-1)<<numberBits | n&MaxNumber
	return netip.AddrFrom4([4]byte{firstByte, byte(host >> 16), byte(host >> 8), byte(host)}).String()
}
