"""The commands, one module for each group."""
