"""Tests of how a node learns its configuration and its rules."""
