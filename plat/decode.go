package plat

import (
	"encoding/json"

	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// checkDocument checks that raw is a JSON object with a version above after.
func checkDocument(raw []byte, after uint64) error {
	var head struct {
		Version *uint64 `json:"Version"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return errors.Mark(errors.Wrap(err, "document"), ErrInvalid)
	}
	if head.Version == nil {
		return errors.Wrap(ErrInvalid, "document has no Version")
	}
	if *head.Version <= after {
		return errors.Wrapf(ErrInvalid, "document has version %d, want a version above %d", *head.Version, after)
	}
	return nil
}

// decodeVMs decodes a VM list and returns its valid entries, and the error of the first invalid one as skipped. An
// invalid entry, such as one with an unknown role, names no VM. The list serves to find members and to forget those
// that are down, so that an entry less does no harm, while a whole list less would keep new VMs unknown.
func decodeVMs(raw []byte) (vms []wire.VM, skipped, err error) {
	var list struct {
		VMs *[]json.RawMessage `json:"Vms"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "VM list"), ErrInvalid)
	}
	if list.VMs == nil {
		return nil, nil, errors.Wrap(ErrInvalid, "VM list has no Vms")
	}
	vms = make([]wire.VM, 0, len(*list.VMs))
	for i, entry := range *list.VMs {
		var v wire.VM
		err := json.Unmarshal(entry, &v)
		if err == nil {
			err = checkVM(v)
		}
		if err != nil {
			skipped = errors.CombineErrors(skipped, errors.Mark(errors.Wrapf(err, "VM list: entry %d", i), ErrInvalid))
			continue
		}
		vms = append(vms, v)
	}
	return vms, skipped, nil
}

func checkVM(v wire.VM) error {
	switch {
	case !v.Address.IsValid() || v.Address.Port() == 0:
		return errors.Wrap(ErrInvalid, "missing or invalid address, or port 0")
	case v.Role != wire.RoleEntry && v.Role != wire.RoleBackend:
		return errors.Wrapf(ErrInvalid, "unknown role %q", v.Role)
	case v.State != wire.VMLive && v.State != wire.VMLeaving:
		return errors.Wrapf(ErrInvalid, "unknown state %q", v.State)
	case v.FailureDomain == "":
		return errors.Wrap(ErrInvalid, "missing failure domain")
	}
	return nil
}
