"""Exchange messages between the system's own processes."""
