"""Modules that both programs share: HTTP/1.1 messages, addresses, errors for operators, the log."""
