"""How a node learns its configuration and its rules.

Rules bring a large library for checking documents, so the modules here are
imported one by one.
"""
