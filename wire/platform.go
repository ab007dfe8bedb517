package wire

import "net/netip"

// VMRole tells entry VMs, which run nodes, from backend server VMs.
type VMRole string

// Roles in the platform's list of VMs.
const (
	RoleEntry   VMRole = "Entry"
	RoleBackend VMRole = "Backend"
)

// VMState is the state of a VM in the platform's list. The list lags.
type VMState string

// States in the platform's list of VMs.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

// VM is one entry of the platform's list. The address of an entry VM is that of its peer
// listener; the address of a backend server VM is that of its server.
type VM struct {
	Address       netip.AddrPort `json:"Address"`
	Role          VMRole         `json:"Role"`
	FailureDomain string         `json:"FailureDomain"`
	State         VMState        `json:"State"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList struct {
	VMs []VM `json:"Vms"`
}
