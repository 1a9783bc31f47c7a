"""Show what is in force and where."""
