"""The VMs and zones that a node knows of."""
