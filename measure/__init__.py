"""Measure policies in virtual time and processes on this machine."""
