"""Which VMs and zones are there."""
