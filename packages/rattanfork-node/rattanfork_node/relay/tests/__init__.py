"""Tests of the request path of a routing node."""
