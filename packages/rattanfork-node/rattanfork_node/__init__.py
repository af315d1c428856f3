"""The rattanfork node: the process beside each upstream instance."""
