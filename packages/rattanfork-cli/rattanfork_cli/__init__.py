"""The command ``rattanfork`` for operators."""
