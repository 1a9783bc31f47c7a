"""Route requests to backend servers that own their keys exclusively."""
