"""Meet the backend servers: grants, requests, probes."""
