"""Groups of commands."""
