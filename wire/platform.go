package wire

import "net/netip"

// VMRole distinguishes entry VMs, which run nodes, from backend server VMs.
type VMRole string

// Roles in the platform's list of VMs.
const (
	RoleEntry   VMRole = "Entry"
	RoleBackend VMRole = "Backend"
)

// VMState is the state of a VM in the platform's list. The list lags behind the actual state.
type VMState string

// States in the platform's list of VMs.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

// VM is one entry of the platform's list. Address is the peer address of the node on an entry VM, or the address of
// the server on a backend server VM.
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
