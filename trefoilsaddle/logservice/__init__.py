"""HTTP clients for the platform's log service and host list."""
