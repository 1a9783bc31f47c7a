"""Tests, mostly tables of cases."""
