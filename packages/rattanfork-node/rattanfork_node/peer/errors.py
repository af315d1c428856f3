"""Errors of connections between nodes."""


class FrameError(ValueError):
    """A frame is malformed, too large, or not valid in this state of the connection."""


class LinkLostError(ConnectionError):
    """The connection to a node was closed, timed out, or could not be opened."""
