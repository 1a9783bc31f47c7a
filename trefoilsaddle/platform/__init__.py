"""Adapt the gateway to the users' platform.

Only this package knows the platform's header, path and field names.  It
decodes them into the types of `trefoilsaddle.gateway`.
"""
