package fleet

import "fmt"

// The TCP ports that each VM uses. The target at index i of a VM listens on
// firstServicePort+i*portStep and firstControlPort+i*portStep.
const (
	callerPort       = 8080
	registrationPort = 8081
	peerPort         = 8082
	operatorPort     = 8083
	firstServicePort = 9000
	firstControlPort = 9001
	portStep         = 2

	storePort        = 2379
	storeControlPort = 2380
)

// addresses assigns each VM the loopback IP address 127.BLOCK.ZONE.VM, with
// zones and the VMs of a zone numbered from 1.
type addresses struct {
	block       int
	zoneNumbers map[string]int
	vmCounts    map[int]int
}

func newAddresses(block int) *addresses {
	return &addresses{block: block, zoneNumbers: make(map[string]int), vmCounts: make(map[int]int)}
}

// nextVM returns the IP address of the next VM in a zone.
func (a *addresses) nextVM(zone string) string {
	number, known := a.zoneNumbers[zone]
	if !known {
		number = len(a.zoneNumbers) + 1
		a.zoneNumbers[zone] = number
	}
	a.vmCounts[number]++
	return fmt.Sprintf("127.%d.%d.%d", a.block, number, a.vmCounts[number])
}

// store returns the IP address of the store.
func (a *addresses) store() string {
	return fmt.Sprintf("127.%d.0.1", a.block)
}

func hostPort(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}
