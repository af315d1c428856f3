"""Tests of the tasks that keep configuration and rules up to date."""
