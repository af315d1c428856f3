"""Tests of connections between nodes."""
