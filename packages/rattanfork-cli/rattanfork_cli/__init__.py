"""The operators' command line ``rattanfork``."""
