"""Parts of tools/soak: real schedulers and guards under injected faults, checked from outside."""
