"""The rattanfork node: the proxy process that runs beside each upstream instance."""
