"""Start the programs: read settings, perform effects, stop."""
