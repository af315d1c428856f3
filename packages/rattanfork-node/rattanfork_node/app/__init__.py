"""Composition roots: the node of the project's own interface, and by routes."""
