"""Errors of the streams between nodes."""


class FrameError(ValueError):
    """A frame is malformed, oversized, or not expected now."""


class LinkLostError(ConnectionError):
    """The connection to a node is gone, silent, or could not be made."""
