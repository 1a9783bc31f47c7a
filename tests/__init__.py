"""Prove the promises, with tables of cases."""
