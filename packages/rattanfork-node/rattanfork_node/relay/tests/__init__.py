"""Tests of the path of a request by routes."""
