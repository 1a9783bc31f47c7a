"""HTTP client for backend servers: grant calls, requests and health probes."""
