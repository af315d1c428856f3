"""Tasks that keep a node's configuration and rules up to date.

Modules are imported individually: those for the rules load a large validation
library that the others do not need.
"""
