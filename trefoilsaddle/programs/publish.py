"""Check and publish the base file and the overlays."""
